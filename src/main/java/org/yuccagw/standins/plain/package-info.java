/** Stand-in for a plain service, including operations that are not idempotent. */
package org.yuccagw.standins.plain;

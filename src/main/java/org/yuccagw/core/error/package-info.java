/** The closed set of error kinds and their mapping to error answers. */
package org.yuccagw.core.error;

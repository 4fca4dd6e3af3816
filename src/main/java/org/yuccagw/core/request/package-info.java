/** The deterministic state machine of one request, from arrival to the last byte, which traffic threads drive. */
package org.yuccagw.core.request;

/** Forwards a request from its arrival to the last byte of its answer, across failures of endpoints and connections. */
package org.yuccagw.core.forward;

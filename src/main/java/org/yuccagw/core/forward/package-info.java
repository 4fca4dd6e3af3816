/** One request from its arrival to the last byte of its answer, whatever happens to endpoints and connections. */
package org.yuccagw.core.forward;

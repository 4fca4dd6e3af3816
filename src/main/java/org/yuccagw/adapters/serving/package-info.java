/** Serves callers over HTTP: requests in, attempts to endpoints out, the directory and the readiness of this entry. */
package org.yuccagw.adapters.serving;

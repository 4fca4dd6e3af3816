/** Serves callers over HTTP: forwards their requests to endpoints, and answers directory and readiness requests. */
package org.yuccagw.adapters.serving;

/** Retries: a closed table that maps each failure class to the layer that may retry, and a retry budget per service. */
package org.yuccagw.core.retry;

/** At-most-once execution: claims of requests with an idempotency key, committed in groups by compare-and-swap. */
package org.yuccagw.core.claim;

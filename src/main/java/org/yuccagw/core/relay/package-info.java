/**
 * Decides when an entry sends a request to an endpoint through another entry, because it can't reach the endpoint
 * itself.
 */
package org.yuccagw.core.relay;

/**
 * Selects the endpoint for each request, decides whether a request may be retried, and refuses requests that can't be
 * served.
 */
package org.yuccagw.core.placing;

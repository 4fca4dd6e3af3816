/**
 * Base of all stand-ins: an HTTP server with fault injection, a control address for tests, streamed answers and
 * rate-limited links.
 */
package org.yuccagw.standins.http;

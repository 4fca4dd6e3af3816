package org.yuccagw.adapters.http;

import io.undertow.util.HeaderMap;
import java.time.Duration;
import org.yuccagw.core.port.BodyEnd;

/**
 * The head of a final response.
 *
 * @param bodyEnd what shows the end of the body
 * @param bodyBytes length of the body if {@code bodyEnd} is {@link BodyEnd#LENGTH}, else 0
 * @param idleLimit how long the connection may be idle and still be reused, zero or less if it may not
 */
record ResponseHead(int status, HeaderMap headers, BodyEnd bodyEnd, long bodyBytes, Duration idleLimit) {}

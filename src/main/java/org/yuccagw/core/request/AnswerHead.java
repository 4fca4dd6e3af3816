package org.yuccagw.core.request;

import com.google.common.collect.ImmutableMap;
import org.yuccagw.core.id.SoftwareVersion;

/**
 * The head of an endpoint's answer.
 *
 * @param status HTTP status
 * @param stream identifier of the stream on the engine; empty for a plain service
 * @param version weight version that runs the request; empty for a plain service
 * @param software version of the software of the endpoint
 * @param headers headers of a plain service's answer that are forwarded to the caller
 */
public record AnswerHead(
        int status, String stream, String version, SoftwareVersion software, ImmutableMap<String, String> headers) {}

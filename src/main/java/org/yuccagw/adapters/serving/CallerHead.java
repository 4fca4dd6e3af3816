package org.yuccagw.adapters.serving;

import io.undertow.util.HeaderMap;
import java.time.Duration;
import java.util.Optional;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.prompt.PromptShape;

/**
 * The decoded head of a caller's request.
 *
 * @param host value of the host header
 * @param bearerKey key of the caller, which is never forwarded
 * @param timeout timeout requested by the caller, if any
 * @param prompt shape of the prompt, if the caller describes it
 * @param afterEvent id of the event after which the stream resumes, -1 for the whole stream
 * @param resumes request whose answer brought the first event of the stream, if the caller takes one up again
 * @param forwardedHeaders headers that are forwarded to the endpoint unchanged
 */
public record CallerHead(
        RequestId id,
        String host,
        Optional<String> bearerKey,
        Optional<Duration> timeout,
        Optional<PromptShape> prompt,
        long afterEvent,
        Optional<RequestId> resumes,
        HeaderMap forwardedHeaders) {}

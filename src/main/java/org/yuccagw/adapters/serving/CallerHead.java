package org.yuccagw.adapters.serving;

import io.undertow.util.HeaderMap;
import java.time.Duration;
import java.util.Optional;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.prompt.PromptShape;

/**
 * The head of a caller's request, decoded.
 *
 * @param bearerKey the caller's key, which goes no further than here
 * @param patience how long the caller waits, if it says so
 * @param afterEvent event after which a stream is to go on, -1 for all of it
 * @param forwarded headers that go on to the endpoint as they came
 */
public record CallerHead(
        RequestId id,
        String host,
        Optional<String> bearerKey,
        Optional<Duration> patience,
        Optional<PromptShape> prompt,
        long afterEvent,
        HeaderMap forwarded) {}

package org.yuccagw.platform;

import com.google.common.collect.ImmutableSet;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import org.yuccagw.adapters.serving.CallerHead;
import org.yuccagw.core.deployment.WorkspaceAccess;
import org.yuccagw.core.forward.EndpointAnswerHead;
import org.yuccagw.core.forward.ForwardRequest;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.placing.PlacementDecision;
import org.yuccagw.core.stores.CachePlan;

/** Heads of requests to endpoints and of their answers. */
final class EndpointHeaders {
    private static final int LEAST_URGENT = 9;
    private static final String NO_ADDRESS = "-";
    private static final ImmutableSet<HttpString> OF_THE_CONNECTION = ImmutableSet.of(
            Headers.CONNECTION,
            new HttpString("Keep-Alive"),
            new HttpString("Proxy-Connection"),
            Headers.TRAILER,
            Headers.TRANSFER_ENCODING,
            Headers.UPGRADE);

    private EndpointHeaders() {}

    /** The head of one attempt: what the caller sent and what is ours to say. */
    static HeaderMap request(
            CallerHead head,
            Optional<WorkspaceAccess> workspace,
            PlacementDecision.Placed placed,
            Duration left,
            long afterEvent) {
        HeaderMap headers = new HeaderMap();
        head.forwarded().forEach(values -> headers.putAll(values.getHeaderName(), values));
        put(headers, PlatformNames.DEADLINE, Long.toString(Math.max(1, left.toMillis())));
        put(headers, PlatformNames.EXPECT_ENDPOINT, placed.endpoint().id().value());
        workspace.ifPresent(
                known -> put(headers, PlatformNames.WORKSPACE, known.id().value()));
        if (afterEvent != ForwardRequest.FROM_START) {
            put(headers, PlatformNames.LAST_EVENT, Long.toString(afterEvent));
        }
        if (head.prompt().isPresent()) {
            put(
                    headers,
                    PlatformNames.URGENCY,
                    Integer.toString(Math.min(LEAST_URGENT, Math.max(0, placed.urgency()))));
            placed.version().ifPresent(version -> put(headers, PlatformNames.EXPECT_VERSION, Long.toString(version)));
            placed.salt().ifPresent(salt -> put(headers, PlatformNames.CACHE_SALT, salt));
            placed.cache().ifPresent(plan -> putPlan(headers, plan));
        }
        return headers;
    }

    /** One address for each part, with commas between them; the number after a slash is the tokens to read. */
    private static void putPlan(HeaderMap headers, CachePlan plan) {
        if (plan.hasFetch()) {
            String fetches = plan.fetches().stream()
                    .map(source -> source.map(from -> from.store() + "/" + from.tokens())
                            .orElse(NO_ADDRESS))
                    .collect(Collectors.joining(","));
            put(headers, PlatformNames.KV_FETCH, fetches);
            put(headers, PlatformNames.KV_UNTIL, Long.toString(plan.untilMillis()));
        }
        if (plan.hasSave()) {
            String saves = plan.saves().stream()
                    .map(target -> target.map(Object::toString).orElse(NO_ADDRESS))
                    .collect(Collectors.joining(","));
            put(headers, PlatformNames.KV_SAVE, saves);
        }
    }

    /** What decides about an answer. */
    static EndpointAnswerHead answer(int status, HeaderMap headers, RequestId request, EndpointId expected) {
        String id = headers.getFirst(PlatformNames.REQUEST_ID);
        String endpoint = headers.getFirst(PlatformNames.ENDPOINT_ID);
        boolean framed = headers.contains(Headers.CONTENT_LENGTH)
                || headers.contains(Headers.TRANSFER_ENCODING)
                || "close".equalsIgnoreCase(headers.getFirst(Headers.CONNECTION));
        return new EndpointAnswerHead(
                status,
                request.value().equals(id),
                headers.contains(PlatformNames.SEAL),
                headers.contains(PlatformNames.NOT_RUN),
                endpoint != null && !endpoint.equals(expected.value()),
                headers.contains(Headers.CONTENT_ENCODING),
                framed,
                number(headers.getFirst(PlatformNames.VERSION_RUN)),
                EndpointNoticeReader.read(status, headers));
    }

    /** The endpoint's headers that go on to the caller. */
    static HeaderMap forwarded(HeaderMap answer) {
        HeaderMap forwarded = new HeaderMap();
        for (HeaderValues values : answer) {
            if (!OF_THE_CONNECTION.contains(values.getHeaderName())) {
                forwarded.putAll(values.getHeaderName(), values);
            }
        }
        return forwarded;
    }

    /** Seconds with a fraction: a caller that was refused for 200 ms shouldn't stay away for a second. */
    static String retryAfter(Duration wait) {
        return String.format(java.util.Locale.ROOT, "%.3f", wait.toMillis() / 1_000.0);
    }

    private static OptionalLong number(String text) {
        try {
            return text == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(text.trim()));
        } catch (NumberFormatException ignored) {
            // A version that is no number is as good as none: nothing is pinned to it.
            return OptionalLong.empty();
        }
    }

    private static void put(HeaderMap headers, String name, String value) {
        headers.put(new HttpString(name), value);
    }
}

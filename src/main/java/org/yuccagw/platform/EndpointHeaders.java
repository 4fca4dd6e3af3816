package org.yuccagw.platform;

import com.google.common.collect.ImmutableSet;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import org.yuccagw.adapters.http.InvalidResponseException;
import org.yuccagw.adapters.http.ResponseDefect;
import org.yuccagw.adapters.serving.CallerHead;
import org.yuccagw.core.deployment.WorkspaceAccess;
import org.yuccagw.core.forward.EndpointAnswerHead;
import org.yuccagw.core.forward.ForwardRequest;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.placing.PlacementDecision;
import org.yuccagw.core.stores.CachePlan;

/** Writes the headers of requests to endpoints and reads the headers of their answers. */
final class EndpointHeaders {
    private static final int LOWEST_URGENCY = 9;
    private static final String ABSENT_ADDRESS = "-";
    private static final ImmutableSet<HttpString> HOP_BY_HOP = ImmutableSet.of(
            Headers.CONNECTION,
            new HttpString("Keep-Alive"),
            new HttpString("Proxy-Connection"),
            Headers.TRAILER,
            Headers.TRANSFER_ENCODING,
            Headers.UPGRADE);

    private EndpointHeaders() {}

    /** Returns the headers of one attempt: the caller's forwarded headers and those that the gateway sets. */
    static HeaderMap requestHeaders(
            CallerHead head,
            Optional<WorkspaceAccess> workspace,
            PlacementDecision.Placed placed,
            Duration remaining,
            long afterEvent) {
        HeaderMap headers = new HeaderMap();
        head.forwardedHeaders().forEach(values -> headers.putAll(values.getHeaderName(), values));
        putHeader(headers, PlatformNames.DEADLINE, Long.toString(Math.max(1, remaining.toMillis())));
        putHeader(headers, PlatformNames.EXPECT_ENDPOINT, placed.endpoint().id().value());
        workspace.ifPresent(access ->
                putHeader(headers, PlatformNames.WORKSPACE, access.id().value()));
        if (afterEvent != ForwardRequest.FROM_START) {
            putHeader(headers, PlatformNames.LAST_EVENT, Long.toString(afterEvent));
        }
        if (head.prompt().isPresent()) {
            putHeader(
                    headers,
                    PlatformNames.URGENCY,
                    Integer.toString(Math.min(LOWEST_URGENCY, Math.max(0, placed.urgency()))));
            placed.version()
                    .ifPresent(version -> putHeader(headers, PlatformNames.EXPECT_VERSION, Long.toString(version)));
            placed.salt().ifPresent(salt -> putHeader(headers, PlatformNames.CACHE_SALT, salt));
            placed.cache().ifPresent(plan -> putCachePlan(headers, plan));
        }
        return headers;
    }

    /**
     * Writes one address for each part of the prompt, separated by commas, and {@code -} for a part that has none. In
     * {@code Yuccagw-Kv-Fetch} a slash and the number of tokens to read follow each address.
     */
    private static void putCachePlan(HeaderMap headers, CachePlan plan) {
        if (plan.hasFetch()) {
            String fetches = plan.fetches().stream()
                    .map(fetch -> fetch.map(source -> source.store() + "/" + source.tokens())
                            .orElse(ABSENT_ADDRESS))
                    .collect(Collectors.joining(","));
            putHeader(headers, PlatformNames.KV_FETCH, fetches);
            putHeader(headers, PlatformNames.KV_UNTIL, Long.toString(plan.fetchDeadlineMillis()));
        }
        if (plan.hasSave()) {
            String saves = plan.saves().stream()
                    .map(target -> target.map(Object::toString).orElse(ABSENT_ADDRESS))
                    .collect(Collectors.joining(","));
            putHeader(headers, PlatformNames.KV_SAVE, saves);
        }
    }

    /**
     * Reads the status and headers that determine whether and how an answer is used.
     *
     * @throws UncheckedIOException if the weight version can't be read
     */
    static EndpointAnswerHead readAnswer(int status, HeaderMap headers, RequestId request, EndpointId expected) {
        HeaderValues endpoints = headers.get(PlatformNames.ENDPOINT_ID);
        return new EndpointAnswerHead(
                status,
                isStatedOnce(headers, PlatformNames.REQUEST_ID) && names(headers, request),
                isStatedOnce(headers, PlatformNames.SEAL),
                headers.contains(PlatformNames.NOT_RUN),
                endpoints != null && endpoints.stream().anyMatch(id -> !id.equals(expected.value())),
                headers.contains(Headers.CONTENT_ENCODING),
                readVersion(headers),
                EndpointNoticeReader.read(status, headers));
    }

    /** Returns whether the header has a single value; whose answer it is, no other reader may see in another way. */
    private static boolean isStatedOnce(HeaderMap headers, String name) {
        return headers.count(name) == 1;
    }

    private static boolean names(HeaderMap headers, RequestId request) {
        return request.value().equals(headers.getFirst(PlatformNames.REQUEST_ID));
    }

    /** Returns the endpoint's headers that are forwarded to the caller: all but the hop-by-hop headers. */
    static HeaderMap forwardedHeaders(HeaderMap answer) {
        HeaderMap forwarded = new HeaderMap();
        for (HeaderValues values : answer) {
            if (!HOP_BY_HOP.contains(values.getHeaderName())) {
                forwarded.putAll(values.getHeaderName(), values);
            }
        }
        return forwarded;
    }

    /** Returns the wait in seconds with three decimals, so that a caller refused for 200 ms doesn't wait a second. */
    static String retryAfter(Duration wait) {
        return String.format(java.util.Locale.ROOT, "%.3f", wait.toMillis() / 1_000.0);
    }

    /** A stream that went on elsewhere without its weight version could mix two of them. */
    private static OptionalLong readVersion(HeaderMap headers) {
        HeaderValues versions = headers.get(PlatformNames.VERSION_RUN);
        if (versions == null) {
            return OptionalLong.empty();
        }
        try {
            if (versions.size() == 1) {
                return OptionalLong.of(Long.parseLong(versions.getFirst()));
            }
        } catch (NumberFormatException ignored) {
            // Handled like several versions.
        }
        throw new UncheckedIOException(new InvalidResponseException(ResponseDefect.FIELD_VALUE));
    }

    private static void putHeader(HeaderMap headers, String name, String value) {
        headers.put(new HttpString(name), value);
    }
}

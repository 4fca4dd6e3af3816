package org.yuccagw.platform;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.notice.EndpointNotice;
import org.yuccagw.core.notice.NoticeReceived;
import org.yuccagw.core.notice.RateLimit;

/** Reads the notices about an endpoint from its answers: rate limit, leaving, back-off and limit of rejections. */
final class EndpointNoticeReader {
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final String TRUE = "1";
    private static final ImmutableList<String> PLATFORM_PREFIXES = ImmutableList.of("yuccagw-", "server-");
    private static final ImmutableSet<String> KNOWN_HEADERS = ImmutableSet.of(
            PlatformNames.REQUEST_ID,
            PlatformNames.SEAL,
            PlatformNames.NOT_RUN,
            PlatformNames.ENDPOINT_ID,
            PlatformNames.VERSION_RUN,
            PlatformNames.RATE_LIMIT,
            PlatformNames.LEAVING,
            PlatformNames.BRITTLE);

    private EndpointNoticeReader() {}

    /** Returns the notice in an answer. {@code Retry-After} counts only in rejections with status 429 or 503. */
    static EndpointNotice read(int status, HeaderMap headers) {
        boolean rejected = status == SERVICE_UNAVAILABLE || status == TOO_MANY_REQUESTS;
        OptionalDouble retryAfter = rejected ? parseNumber(headers, PlatformNames.RETRY_AFTER) : OptionalDouble.empty();
        OptionalDouble limit = parseNumber(headers, PlatformNames.RATE_LIMIT);
        return new EndpointNotice(
                limit.isPresent() ? RateLimit.of(limit.getAsDouble()) : Optional.empty(),
                TRUE.equals(trimmedValue(headers, PlatformNames.LEAVING)),
                retryAfter.isPresent() ? EndpointNotice.backOffOfSeconds(retryAfter.getAsDouble()) : Optional.empty(),
                parseMaxRejections(headers),
                unknownHeaders(headers));
    }

    private static OptionalInt parseMaxRejections(HeaderMap headers) {
        OptionalDouble number = parseNumber(headers, PlatformNames.BRITTLE);
        return number.isPresent() && number.getAsDouble() >= 0
                ? OptionalInt.of((int) Math.min(number.getAsDouble(), Integer.MAX_VALUE))
                : OptionalInt.empty();
    }

    /**
     * Returns the notice in the answer to an internal call. Empty if the answer contains none, or if an endpoint other
     * than the called one answered.
     */
    static Optional<NoticeReceived> readCallAnswer(EndpointIncarnation endpoint, HttpResponse answer) {
        String answeringId = trimmedValue(answer.headers(), PlatformNames.ENDPOINT_ID);
        boolean fromOtherEndpoint = !answeringId.isEmpty()
                && !answeringId.equals(endpoint.endpoint().value());
        EndpointNotice notice = read(answer.status(), answer.headers());
        boolean hasNotice = !fromOtherEndpoint && notice.hasContent();
        return hasNotice ? Optional.of(new NoticeReceived(endpoint, notice, false)) : Optional.empty();
    }

    /** Returns the number in a header. A missing or malformed number counts as absent. */
    private static OptionalDouble parseNumber(HeaderMap headers, String name) {
        try {
            String text = trimmedValue(headers, name);
            return text.isEmpty() ? OptionalDouble.empty() : OptionalDouble.of(Double.parseDouble(text));
        } catch (NumberFormatException ignored) {
            return OptionalDouble.empty();
        }
    }

    private static String trimmedValue(HeaderMap headers, String name) {
        String value = headers.getFirst(name);
        return value == null ? "" : value.trim();
    }

    private static ImmutableList<String> unknownHeaders(HeaderMap headers) {
        ImmutableList.Builder<String> names = ImmutableList.builder();
        for (HeaderValues values : headers) {
            String name = values.getHeaderName().toString();
            if (isPlatformHeader(name) && KNOWN_HEADERS.stream().noneMatch(name::equalsIgnoreCase)) {
                names.add(name);
            }
        }
        return names.build();
    }

    private static boolean isPlatformHeader(String name) {
        return PLATFORM_PREFIXES.stream().anyMatch(prefix -> name.regionMatches(true, 0, prefix, 0, prefix.length()));
    }
}

package org.yuccagw.platform;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import java.util.Optional;
import java.util.OptionalDouble;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.notice.EndpointNotice;
import org.yuccagw.core.notice.NoticeReceived;
import org.yuccagw.core.notice.RateLimit;

/** What heads of answers say of the endpoint. */
final class EndpointNoticeReader {
    private static final int TOO_MANY = 429;
    private static final int UNAVAILABLE = 503;
    private static final String YES = "1";
    private static final ImmutableList<String> FAMILIES = ImmutableList.of("yuccagw-", "server-");
    private static final ImmutableSet<String> UNDERSTOOD = ImmutableSet.of(
            PlatformNames.REQUEST_ID,
            PlatformNames.SEAL,
            PlatformNames.NOT_RUN,
            PlatformNames.ENDPOINT_ID,
            PlatformNames.VERSION_RUN,
            PlatformNames.RATE_LIMIT,
            PlatformNames.LEAVING);

    private EndpointNoticeReader() {}

    static EndpointNotice read(int status, HeaderMap headers) {
        boolean turnsAway = status == UNAVAILABLE || status == TOO_MANY;
        OptionalDouble wait = turnsAway ? number(headers, PlatformNames.RETRY_AFTER) : OptionalDouble.empty();
        OptionalDouble limit = number(headers, PlatformNames.RATE_LIMIT);
        return new EndpointNotice(
                limit.isPresent() ? RateLimit.of(limit.getAsDouble()) : Optional.empty(),
                YES.equals(text(headers, PlatformNames.LEAVING)),
                wait.isPresent() ? EndpointNotice.backOffOfSeconds(wait.getAsDouble()) : Optional.empty(),
                unknown(headers));
    }

    /** What the answer to a call of this entry says of the endpoint; empty if nothing, or if another one answered. */
    static Optional<NoticeReceived> heard(EndpointIncarnation endpoint, HttpResponse answer) {
        String from = text(answer.headers(), PlatformNames.ENDPOINT_ID);
        boolean foreign = !from.isEmpty() && !from.equals(endpoint.endpoint().value());
        EndpointNotice notice = read(answer.status(), answer.headers());
        boolean says = !foreign && notice.hasContent();
        return says ? Optional.of(new NoticeReceived(endpoint, notice, false)) : Optional.empty();
    }

    /** A number that is none says nothing. */
    private static OptionalDouble number(HeaderMap headers, String name) {
        try {
            String text = text(headers, name);
            return text.isEmpty() ? OptionalDouble.empty() : OptionalDouble.of(Double.parseDouble(text));
        } catch (NumberFormatException ignored) {
            return OptionalDouble.empty();
        }
    }

    private static String text(HeaderMap headers, String name) {
        String value = headers.getFirst(name);
        return value == null ? "" : value.trim();
    }

    private static ImmutableList<String> unknown(HeaderMap headers) {
        ImmutableList.Builder<String> names = ImmutableList.builder();
        for (HeaderValues values : headers) {
            String name = values.getHeaderName().toString();
            if (isOfPlatform(name) && UNDERSTOOD.stream().noneMatch(name::equalsIgnoreCase)) {
                names.add(name);
            }
        }
        return names.build();
    }

    private static boolean isOfPlatform(String name) {
        return FAMILIES.stream().anyMatch(family -> name.regionMatches(true, 0, family, 0, family.length()));
    }
}

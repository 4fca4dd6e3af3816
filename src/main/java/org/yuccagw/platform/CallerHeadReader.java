package org.yuccagw.platform;

import com.google.common.base.CharMatcher;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.yuccagw.adapters.serving.CallerHead;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.forward.ForwardRequest;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.prompt.PromptPart;
import org.yuccagw.core.prompt.PromptShape;

/**
 * Reads heads of callers' requests and refuses those that could mean two things.
 *
 * <p>Guards against requests hidden inside others: a body whose length is told twice or in two ways ends at one place
 * for us and at another for the endpoint, and what lies between runs as a request that nobody sent. Such a head is
 * refused and its connection closed. A doubled request id or key is refused for the same reason.
 */
final class CallerHeadReader {
    private static final String BEARER = "bearer ";
    private static final String CHUNKED = "chunked";
    private static final Splitter COMMA = Splitter.on(',').trimResults().omitEmptyStrings();
    private static final CharMatcher TOKEN = CharMatcher.inRange('a', 'z')
            .or(CharMatcher.inRange('A', 'Z'))
            .or(CharMatcher.inRange('0', '9'))
            .or(CharMatcher.anyOf("!#$%&'*+-.^_`|~"));
    private static final CharMatcher DIGITS = CharMatcher.inRange('0', '9');

    /** Concern one connection only. */
    private static final ImmutableSet<HttpString> OF_THE_CONNECTION = ImmutableSet.of(
            Headers.CONNECTION,
            new HttpString("Keep-Alive"),
            new HttpString("Proxy-Connection"),
            Headers.PROXY_AUTHENTICATE,
            Headers.PROXY_AUTHORIZATION,
            new HttpString("TE"),
            Headers.TRAILER,
            Headers.TRANSFER_ENCODING,
            Headers.UPGRADE,
            Headers.EXPECT,
            Headers.CONTENT_LENGTH);

    /** Ours to set or to keep, whatever a caller sent. */
    private static final ImmutableSet<HttpString> OURS = names(
            "Authorization",
            PlatformNames.DEADLINE,
            PlatformNames.LAST_EVENT,
            PlatformNames.WORKSPACE,
            PlatformNames.EXPECT_ENDPOINT,
            PlatformNames.EXPECT_VERSION,
            PlatformNames.CACHE_SALT,
            PlatformNames.URGENCY,
            PlatformNames.KV_FETCH,
            PlatformNames.KV_SAVE,
            PlatformNames.KV_UNTIL,
            PlatformNames.KV_BACKUP,
            PlatformNames.KV_FROM,
            PlatformNames.HOLD,
            PlatformNames.PIN);

    /** Stay whatever the header Connection names: without them the endpoint would run another request. */
    private static final ImmutableSet<HttpString> ALWAYS_FORWARDED = names(
            PlatformNames.REQUEST_ID,
            PlatformNames.MODEL,
            PlatformNames.TOKEN_USAGE,
            PlatformNames.PROMPT_PARTS,
            PlatformNames.LENGTH_HINT,
            "Host",
            "Content-Type");

    private CallerHeadReader() {}

    /**
     * Reads a head.
     *
     * @throws YuccagwException of kind MALFORMED_HEAD
     */
    static CallerHead read(HeaderMap headers) throws YuccagwException {
        checkNames(headers);
        checkFraming(headers);
        return new CallerHead(
                RequestId.of(single(headers, PlatformNames.REQUEST_ID)
                        .filter(id -> !id.isBlank())
                        .orElseThrow(() -> ErrorKind.MALFORMED_HEAD.raise("has no request id"))),
                single(headers, "Host").orElse(""),
                single(headers, "Authorization").flatMap(CallerHeadReader::bearerKey),
                single(headers, PlatformNames.DEADLINE)
                        .flatMap(CallerHeadReader::number)
                        .map(Duration::ofMillis),
                readPrompt(headers),
                single(headers, PlatformNames.LAST_EVENT)
                        .flatMap(CallerHeadReader::number)
                        .orElse(ForwardRequest.FROM_START),
                forwarded(headers));
    }

    private static void checkNames(HeaderMap headers) throws YuccagwException {
        for (HttpString name : headers.getHeaderNames()) {
            if (name.length() == 0 || !TOKEN.matchesAllOf(name.toString())) {
                throw ErrorKind.MALFORMED_HEAD.raise("has a header with a malformed name");
            }
        }
    }

    private static void checkFraming(HeaderMap headers) throws YuccagwException {
        Optional<String> length = single(headers, "Content-Length");
        Optional<String> coding = single(headers, "Transfer-Encoding");
        if (length.isPresent() && coding.isPresent()) {
            throw ErrorKind.MALFORMED_HEAD.raise("tells the length of the body in two ways");
        }
        if (coding.isPresent() && !coding.get().trim().equalsIgnoreCase(CHUNKED)) {
            throw ErrorKind.MALFORMED_HEAD.raise("names a transfer coding other than chunked");
        }
        if (length.isPresent()
                && (length.get().isEmpty() || !DIGITS.matchesAllOf(length.get().trim()))) {
            throw ErrorKind.MALFORMED_HEAD.raise("has a length of the body that is no number");
        }
    }

    private static Optional<String> single(HeaderMap headers, String name) throws YuccagwException {
        HeaderValues values = headers.get(name);
        if (values == null || values.isEmpty()) {
            return Optional.empty();
        }
        if (values.size() > 1) {
            throw ErrorKind.MALFORMED_HEAD.raise("has the header " + name + " twice");
        }
        return Optional.of(values.getFirst());
    }

    private static Optional<String> bearerKey(String authorization) {
        return authorization.toLowerCase(Locale.ROOT).startsWith(BEARER)
                ? Optional.of(authorization.substring(BEARER.length()).trim())
                : Optional.empty();
    }

    private static Optional<Long> number(String text) {
        String trimmed = text.trim();
        boolean whole = !trimmed.isEmpty() && trimmed.length() <= 15 && DIGITS.matchesAllOf(trimmed);
        return whole ? Optional.of(Long.parseLong(trimmed)) : Optional.empty();
    }

    /** A prompt whose shape can't be read is forwarded all the same; it is only placed without knowledge. */
    private static Optional<PromptShape> readPrompt(HeaderMap headers) throws YuccagwException {
        Optional<String> model = single(headers, PlatformNames.MODEL);
        Optional<String> usage = single(headers, PlatformNames.TOKEN_USAGE);
        if (model.isEmpty() || usage.isEmpty()) {
            return Optional.empty();
        }
        List<String> counts = COMMA.splitToList(usage.get());
        Optional<Long> promptTokens = counts.isEmpty() ? Optional.empty() : number(counts.get(0));
        if (promptTokens.isEmpty()) {
            return Optional.empty();
        }
        long most = counts.size() < 2 ? 0 : number(counts.get(1)).orElse(0L);
        long expected = single(headers, PlatformNames.LENGTH_HINT)
                .flatMap(CallerHeadReader::number)
                .orElse(most);
        return Optional.of(new PromptShape(
                model.get(),
                promptTokens.get().intValue(),
                (int) expected,
                readParts(single(headers, PlatformNames.PROMPT_PARTS).orElse(""))));
    }

    private static ImmutableList<PromptPart> readParts(String text) {
        ImmutableList.Builder<PromptPart> parts = ImmutableList.builder();
        for (String part : COMMA.split(text)) {
            int colon = part.indexOf(':');
            Optional<Long> tokens = colon < 1 ? Optional.empty() : number(part.substring(colon + 1));
            if (tokens.isEmpty()) {
                return ImmutableList.of();
            }
            parts.add(new PromptPart(part.substring(0, colon), tokens.get().intValue()));
        }
        return parts.build();
    }

    private static HeaderMap forwarded(HeaderMap headers) {
        Set<HttpString> left = new HashSet<>(OF_THE_CONNECTION);
        HeaderValues connection = headers.get(Headers.CONNECTION);
        if (connection != null) {
            connection.forEach(value -> COMMA.split(value).forEach(name -> left.add(new HttpString(name))));
        }
        left.removeAll(ALWAYS_FORWARDED);
        left.addAll(OURS);
        HeaderMap forwarded = new HeaderMap();
        for (HeaderValues values : headers) {
            if (!left.contains(values.getHeaderName())) {
                forwarded.putAll(values.getHeaderName(), values);
            }
        }
        return forwarded;
    }

    private static ImmutableSet<HttpString> names(String... texts) {
        ImmutableSet.Builder<HttpString> names = ImmutableSet.builder();
        for (String text : texts) {
            names.add(new HttpString(text));
        }
        return names.build();
    }
}

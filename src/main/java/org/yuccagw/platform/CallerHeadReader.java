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
 * Reads the heads of callers' requests and refuses ambiguous ones.
 *
 * <p>Guards against request smuggling: if the length of a body is given twice or in two ways, the gateway and the
 * endpoint may disagree on where the body ends, and the bytes in between run as a request that no caller sent. Such a
 * head is refused and its connection closed. A request id or key that occurs twice is refused for the same reason.
 */
final class CallerHeadReader {
    private static final String BEARER = "bearer ";
    private static final String CHUNKED = "chunked";
    private static final Splitter COMMA = Splitter.on(',').trimResults().omitEmptyStrings();
    private static final CharMatcher TOKEN_CHARACTERS = CharMatcher.inRange('a', 'z')
            .or(CharMatcher.inRange('A', 'Z'))
            .or(CharMatcher.inRange('0', '9'))
            .or(CharMatcher.anyOf("!#$%&'*+-.^_`|~"));
    private static final CharMatcher DIGITS = CharMatcher.inRange('0', '9');

    /** Hop-by-hop headers, which apply to a single connection and are not forwarded. */
    private static final ImmutableSet<HttpString> HOP_BY_HOP = ImmutableSet.of(
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

    /** Headers that only the gateway may set or that it consumes itself. Values sent by callers are not forwarded. */
    private static final ImmutableSet<HttpString> RESERVED = headerNames(
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

    /**
     * Headers that are forwarded even if the header {@code Connection} lists them. Without them the endpoint would run
     * a different request.
     */
    private static final ImmutableSet<HttpString> ALWAYS_FORWARDED = headerNames(
            PlatformNames.REQUEST_ID,
            PlatformNames.MODEL,
            PlatformNames.TOKEN_USAGE,
            PlatformNames.PROMPT_PARTS,
            PlatformNames.LENGTH_HINT,
            "Host",
            "Content-Type");

    private CallerHeadReader() {}

    /**
     * Reads the headers of a request.
     *
     * @throws YuccagwException of kind MALFORMED_HEAD if the head is malformed or ambiguous
     */
    static CallerHead read(HeaderMap headers) throws YuccagwException {
        checkNames(headers);
        checkFraming(headers);
        return new CallerHead(
                RequestId.of(singleValue(headers, PlatformNames.REQUEST_ID)
                        .filter(id -> !id.isBlank())
                        .orElseThrow(() -> ErrorKind.MALFORMED_HEAD.raise("has no request id"))),
                singleValue(headers, "Host").orElse(""),
                singleValue(headers, "Authorization").flatMap(CallerHeadReader::parseBearerKey),
                singleValue(headers, PlatformNames.DEADLINE)
                        .flatMap(CallerHeadReader::parseDigits)
                        .map(Duration::ofMillis),
                readPrompt(headers),
                singleValue(headers, PlatformNames.LAST_EVENT)
                        .flatMap(CallerHeadReader::parseDigits)
                        .orElse(ForwardRequest.FROM_START),
                singleValue(headers, PlatformNames.RESUMES)
                        .filter(id -> !id.isBlank())
                        .map(RequestId::of),
                forwardedHeaders(headers));
    }

    private static void checkNames(HeaderMap headers) throws YuccagwException {
        for (HttpString name : headers.getHeaderNames()) {
            if (name.length() == 0 || !TOKEN_CHARACTERS.matchesAllOf(name.toString())) {
                throw ErrorKind.MALFORMED_HEAD.raise("has a header with a malformed name");
            }
        }
    }

    private static void checkFraming(HeaderMap headers) throws YuccagwException {
        Optional<String> length = singleValue(headers, "Content-Length");
        Optional<String> coding = singleValue(headers, "Transfer-Encoding");
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

    private static Optional<String> singleValue(HeaderMap headers, String name) throws YuccagwException {
        HeaderValues values = headers.get(name);
        if (values == null || values.isEmpty()) {
            return Optional.empty();
        }
        if (values.size() > 1) {
            throw ErrorKind.MALFORMED_HEAD.raise("has the header " + name + " twice");
        }
        return Optional.of(values.getFirst());
    }

    private static Optional<String> parseBearerKey(String authorization) {
        return authorization.toLowerCase(Locale.ROOT).startsWith(BEARER)
                ? Optional.of(authorization.substring(BEARER.length()).trim())
                : Optional.empty();
    }

    private static Optional<Long> parseDigits(String text) {
        String trimmed = text.trim();
        boolean isNumber = !trimmed.isEmpty() && trimmed.length() <= 15 && DIGITS.matchesAllOf(trimmed);
        return isNumber ? Optional.of(Long.parseLong(trimmed)) : Optional.empty();
    }

    /**
     * Reads the shape of the prompt. A request whose prompt shape can't be read is forwarded all the same, but placed
     * without regard to the prompt.
     */
    private static Optional<PromptShape> readPrompt(HeaderMap headers) throws YuccagwException {
        Optional<String> model = singleValue(headers, PlatformNames.MODEL);
        Optional<String> usage = singleValue(headers, PlatformNames.TOKEN_USAGE);
        if (model.isEmpty() || usage.isEmpty()) {
            return Optional.empty();
        }
        List<String> counts = COMMA.splitToList(usage.get());
        Optional<Long> promptTokens = counts.isEmpty() ? Optional.empty() : parseDigits(counts.get(0));
        if (promptTokens.isEmpty()) {
            return Optional.empty();
        }
        long maxAnswerTokens =
                counts.size() < 2 ? 0 : parseDigits(counts.get(1)).orElse(0L);
        long expectedAnswerTokens = singleValue(headers, PlatformNames.LENGTH_HINT)
                .flatMap(CallerHeadReader::parseDigits)
                .orElse(maxAnswerTokens);
        return Optional.of(new PromptShape(
                model.get(),
                promptTokens.get().intValue(),
                (int) expectedAnswerTokens,
                readPromptParts(singleValue(headers, PlatformNames.PROMPT_PARTS).orElse(""))));
    }

    private static ImmutableList<PromptPart> readPromptParts(String text) {
        ImmutableList.Builder<PromptPart> parts = ImmutableList.builder();
        for (String part : COMMA.split(text)) {
            int colon = part.indexOf(':');
            Optional<Long> tokens = colon < 1 ? Optional.empty() : parseDigits(part.substring(colon + 1));
            if (tokens.isEmpty()) {
                return ImmutableList.of();
            }
            parts.add(new PromptPart(part.substring(0, colon), tokens.get().intValue()));
        }
        return parts.build();
    }

    private static HeaderMap forwardedHeaders(HeaderMap headers) {
        Set<HttpString> dropped = new HashSet<>(HOP_BY_HOP);
        HeaderValues connection = headers.get(Headers.CONNECTION);
        if (connection != null) {
            connection.forEach(value -> COMMA.split(value).forEach(name -> dropped.add(new HttpString(name))));
        }
        dropped.removeAll(ALWAYS_FORWARDED);
        dropped.addAll(RESERVED);
        HeaderMap forwarded = new HeaderMap();
        for (HeaderValues values : headers) {
            if (!dropped.contains(values.getHeaderName())) {
                forwarded.putAll(values.getHeaderName(), values);
            }
        }
        return forwarded;
    }

    private static ImmutableSet<HttpString> headerNames(String... texts) {
        ImmutableSet.Builder<HttpString> names = ImmutableSet.builder();
        for (String text : texts) {
            names.add(new HttpString(text));
        }
        return names.build();
    }
}

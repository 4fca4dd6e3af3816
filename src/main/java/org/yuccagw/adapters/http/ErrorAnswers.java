package org.yuccagw.adapters.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.time.Duration;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;

/**
 * Converts an error to its HTTP answer, in the JSON format of completions APIs.
 *
 * <p>Example: {@code UNKNOWN_MODEL.raise("gtp-4")} is answered with status 404 and
 *
 * <pre>{"error":{"message":"no service of the catalogue is named 'gtp-4'","type":"not_found_error",
 * "code":"unknown_model","ran":"not-run","retry":"never"}}</pre>
 */
public final class ErrorAnswers {
    private static final String JSON = "application/json";
    private static final int UNAUTHORIZED = 401;
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** Errors of a request that no entry has ever accepted, whatever its state and catalogue. */
    private static final Set<ErrorKind> NEVER_ACCEPTED = EnumSet.of(
            ErrorKind.MALFORMED_BODY,
            ErrorKind.MALFORMED_UTF8,
            ErrorKind.MALFORMED_HEAD,
            ErrorKind.WRONG_FIELD,
            ErrorKind.WRONG_IDEMPOTENCY_KEY,
            ErrorKind.WRONG_RESUME_TOKEN,
            ErrorKind.METHOD_NOT_ALLOWED,
            ErrorKind.MISSING_KEY);

    private ErrorAnswers() {}

    /** Returns the JSON body, which is also the data of the last event of a stream that ends with an error. */
    public static String body(YuccagwException error) {
        ErrorKind kind = error.kind();
        ObjectNode root = JsonText.object();
        root.putObject("error")
                .put("message", error.getMessage())
                .put("type", type(kind))
                .put("code", kind.code())
                .put("ran", error.ran().text())
                .put("retry", kind.retry().text());
        return JsonText.write(root);
    }

    /** Returns the seconds for {@code Retry-After}, at least 1; rounded up so that no caller retries too early. */
    public static long retryAfterSeconds(Duration delay) {
        long wholeSeconds = delay.plusSeconds(1).minusNanos(1).toSeconds();
        return Math.max(1, wholeSeconds);
    }

    /** Returns the headers of the error answer, except those that describe its body. */
    public static Map<String, String> headers(YuccagwException error) {
        Map<String, String> headers = new LinkedHashMap<>();
        error.retryAfter()
                .ifPresent(delay -> headers.put(Headers.RETRY_AFTER_STRING, Long.toString(retryAfterSeconds(delay))));
        if (error.kind().status() == UNAUTHORIZED) {
            headers.put(Headers.WWW_AUTHENTICATE_STRING, "Bearer");
        }
        return headers;
    }

    /**
     * Sends the error as the whole answer to a request that was refused before the claim of its idempotency key, if it
     * has one, was requested. The answer must not have been started.
     */
    public static void send(HttpServerExchange exchange, YuccagwException refusal) {
        boolean mayBeRepeated = exchange.getRequestHeaders().contains(IDEMPOTENCY_KEY);
        YuccagwException error =
                mayBeRepeated && !NEVER_ACCEPTED.contains(refusal.kind()) ? refusal.mayHaveRunBefore() : refusal;
        exchange.setStatusCode(error.kind().status());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, JSON);
        headers(error)
                .forEach((name, value) -> exchange.getResponseHeaders().put(HttpString.tryFromString(name), value));
        exchange.getResponseSender().send(body(error));
    }

    /** Returns the error type of completions APIs for the status of the error. */
    static String type(ErrorKind kind) {
        return switch (kind.status()) {
            case 401 -> "authentication_error";
            case 403 -> "permission_error";
            case 404 -> "not_found_error";
            case 429 -> "rate_limit_error";
            case 502, 503, 504 -> "service_unavailable_error";
            case 500, 507 -> "server_error";
            default -> "invalid_request_error";
        };
    }
}

package org.yuccagw.adapters.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;

/**
 * From an error to its HTTP answer, in the JSON shape that callers of completions APIs read.
 *
 * <p>Example: {@code UNKNOWN_MODEL.raise("gtp-4")} gives status 404 and
 *
 * <pre>{"error":{"message":"no service of the catalogue is named 'gtp-4'","type":"not_found_error",
 * "code":"unknown_model","ran":"not-run","retry":"never"}}</pre>
 */
public final class ErrorAnswers {
    private static final String JSON = "application/json";
    private static final int UNAUTHORIZED = 401;

    private ErrorAnswers() {}

    /** The body, which also is the data of the last event of a stream that ends with an error. */
    public static String body(YuccagwException error) {
        ErrorKind kind = error.kind();
        ObjectNode root = JsonText.object();
        root.putObject("error")
                .put("message", error.getMessage())
                .put("type", type(kind))
                .put("code", kind.code())
                .put("ran", kind.ran().text())
                .put("retry", kind.retry().text());
        return JsonText.write(root);
    }

    /** Seconds for the header {@code Retry-After}: rounded up, so that nobody comes back too early; at least 1. */
    public static long retryAfterSeconds(Duration wait) {
        long wholeSeconds = wait.plusSeconds(1).minusNanos(1).toSeconds();
        return Math.max(1, wholeSeconds);
    }

    /** The headers that belong to the error, but for those of its body. */
    public static Map<String, String> headers(YuccagwException error) {
        Map<String, String> headers = new LinkedHashMap<>();
        error.retryAfter()
                .ifPresent(wait -> headers.put(Headers.RETRY_AFTER_STRING, Long.toString(retryAfterSeconds(wait))));
        if (error.kind().status() == UNAUTHORIZED) {
            headers.put(Headers.WWW_AUTHENTICATE_STRING, "Bearer");
        }
        return headers;
    }

    /** Answers with the error. Only for an answer that has not begun. */
    public static void send(HttpServerExchange exchange, YuccagwException error) {
        exchange.setStatusCode(error.kind().status());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, JSON);
        headers(error)
                .forEach((name, value) -> exchange.getResponseHeaders().put(HttpString.tryFromString(name), value));
        exchange.getResponseSender().send(body(error));
    }

    /** The family of the error in the words of completions APIs, by status. */
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

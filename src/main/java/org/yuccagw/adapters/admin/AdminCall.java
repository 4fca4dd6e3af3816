package org.yuccagw.adapters.admin;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.Optional;
import org.yuccagw.adapters.http.ErrorAnswers;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;

/** One call of an operator at the admin address. It is answered exactly once, on any thread. */
final class AdminCall {
    private final HttpServerExchange exchange;
    private final byte[] body;
    private final String operator;

    private AdminCall(HttpServerExchange exchange, byte[] body, String operator) {
        this.exchange = exchange;
        this.body = body;
        this.operator = operator;
    }

    static AdminCall of(HttpServerExchange exchange, byte[] body, String operator) {
        return new AdminCall(exchange, body, operator);
    }

    byte[] body() {
        return body;
    }

    String operator() {
        return operator;
    }

    /** Returns the first value of a query parameter or path parameter. */
    Optional<String> parameter(String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null ? Optional.empty() : Optional.of(values.getFirst());
    }

    /**
     * Parses the value of a parameter as a whole number.
     *
     * @param name name of the parameter, for the error
     */
    long parseNumber(String name, String text) throws YuccagwException {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw ErrorKind.WRONG_FIELD.raiseFrom(e, name, "expected a whole number, found '" + text + "'");
        }
    }

    void reply(JsonNode document) {
        reply("application/json", document.toString().getBytes(StandardCharsets.UTF_8));
    }

    void reply(String contentType, byte[] content) {
        exchange.getIoThread().execute(() -> {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
            exchange.getResponseSender().send(java.nio.ByteBuffer.wrap(content));
        });
    }

    /** Answers with an error. */
    void replyError(YuccagwException error) {
        exchange.getIoThread().execute(() -> ErrorAnswers.send(exchange, error));
    }
}

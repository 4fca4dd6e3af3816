package org.yuccagw.standins.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.nio.ByteBuffer;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Consumer;
import org.xnio.IoUtils;

/**
 * One call to a stand-in whose body has been received. It is answered at most once, at any time and from any thread.
 */
public final class StandInCall {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int INTERNAL_ERROR = 500;

    private final HttpServerExchange exchange;
    private final byte[] body;

    StandInCall(HttpServerExchange exchange, byte[] body) {
        this.exchange = exchange;
        this.body = body;
    }

    public String method() {
        return exchange.getRequestMethod().toString();
    }

    /** Returns the path, with the query string if there is one. */
    public String pathAndQuery() {
        String query = exchange.getQueryString();
        return query.isEmpty() ? exchange.getRequestPath() : exchange.getRequestPath() + "?" + query;
    }

    public byte[] body() {
        return body;
    }

    public JsonNode json() {
        return StandInJson.parse(body);
    }

    /** Returns the first value of a header, or the empty string if the header is absent. */
    public String header(String name) {
        String value = exchange.getRequestHeaders().getFirst(name);
        return value == null ? "" : value;
    }

    /** Returns a query parameter or a variable of the path template. */
    public Optional<String> parameter(String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null || values.isEmpty() ? Optional.empty() : Optional.of(values.getFirst());
    }

    /**
     * Returns a parameter that is required.
     *
     * @throws IllegalArgumentException if it is absent; the message contains its name
     */
    public String required(String name) {
        return parameter(name).orElseThrow(() -> new IllegalArgumentException("missing parameter '" + name + "'"));
    }

    /**
     * Returns an integer parameter that is required.
     *
     * @throws IllegalArgumentException if it is absent or no integer
     */
    public long number(String name) {
        return Long.parseLong(required(name));
    }

    /** Returns an integer parameter, or the default value if it is absent. */
    public long number(String name, long defaultValue) {
        return parameter(name).map(Long::parseLong).orElse(defaultValue);
    }

    public StandInCall withHeader(String name, String value) {
        exchange.getResponseHeaders().put(HttpString.tryFromString(name), value);
        return this;
    }

    public void reply(JsonNode answer) {
        reply(OK, answer);
    }

    public void reply(int status, JsonNode answer) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        replyBytes(status, StandInJson.bytes(answer));
    }

    public void replyBytes(int status, byte[] answer) {
        exchange.setStatusCode(status);
        exchange.getResponseSender().send(ByteBuffer.wrap(answer));
    }

    public void replyError(int status, String code, String message) {
        reply(status, StandInJson.error(code, message));
    }

    /** Closes the connection without an answer, or before the end of the answer. */
    public void closeConnection() {
        IoUtils.safeClose(exchange.getConnection());
    }

    /** Starts an answer that is sent incrementally. Only called on the I/O thread, for example by a handler. */
    public ByteStream stream(String contentType) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
        return ByteStream.start(exchange);
    }

    /** Runs a task on the connection's I/O thread, on which {@link #stream} may be called. */
    public void onIoThread(Runnable task) {
        exchange.getIoThread().execute(task);
    }

    /** Runs a handler and answers with an error if it throws an exception. */
    void handle(Consumer<StandInCall> handler) {
        try {
            handler.accept(this);
        } catch (IllegalArgumentException e) {
            replyException(BAD_REQUEST, "bad_request", e);
        } catch (RuntimeException e) {
            replyException(INTERNAL_ERROR, "internal", e);
        }
    }

    private void replyException(int status, String code, RuntimeException cause) {
        if (exchange.isResponseStarted()) {
            closeConnection();
        } else {
            replyError(status, code, String.valueOf(cause.getMessage()));
        }
    }
}

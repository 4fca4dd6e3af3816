package org.yuccagw.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import javax.net.ssl.SSLContext;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpQuery;
import org.yuccagw.core.id.NetworkAddress;

/** Calls the admin API of an entry. A refusal and a missing answer end the command with their own exit codes. */
final class AdminClient implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration CONNECT = Duration.ofSeconds(3);
    private static final Duration SILENCE = Duration.ofSeconds(20);

    private final NetworkAddress address;
    private final String key;
    private final HttpClient caller;

    private AdminClient(NetworkAddress address, String key, HttpClient caller) {
        this.address = address;
        this.key = key;
        this.caller = caller;
    }

    static AdminClient start(NetworkAddress address, String key, Optional<SSLContext> tls) {
        try {
            HttpClient caller = tls.isPresent() ? HttpClient.start(1, tls.get()) : HttpClient.start(1);
            return new AdminClient(address, key, caller);
        } catch (IOException e) {
            throw CommandFailure.failed("no I/O thread: " + e.getMessage());
        }
    }

    @Override
    public void close() {
        caller.stop();
    }

    JsonNode get(String path) {
        return parse(getText(path));
    }

    String getText(String path) {
        return accepted(send(HttpQuery.get(address, path)));
    }

    JsonNode post(String path) {
        return parse(accepted(send(HttpQuery.of("POST", address, path))));
    }

    JsonNode put(String path, String document) {
        return parse(accepted(send(HttpQuery.json("PUT", address, path, document))));
    }

    /** The answer of another entry to {@code GET /readyz}, ready or not; empty if it doesn't answer. */
    Optional<JsonNode> readiness(NetworkAddress other) {
        try {
            return Optional.of(parse(send(HttpQuery.get(other, "/readyz")).text()));
        } catch (CommandFailure ignored) {
            return Optional.empty();
        }
    }

    private HttpResponse send(HttpQuery query) {
        HttpQuery whole = query.withHeader("Authorization", "Bearer " + key).withTimeouts(CONNECT, SILENCE);
        try {
            return caller.send(whole).get();
        } catch (ExecutionException e) {
            throw CommandFailure.unreachable(
                    query.address() + " did not answer: " + e.getCause().getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw CommandFailure.failed("interrupted");
        }
    }

    private static String accepted(HttpResponse answer) {
        if (answer.isSuccess()) {
            return answer.text();
        }
        String message = parse(answer.text()).path("error").path("message").asText("status " + answer.status());
        throw answer.status() >= 500 ? CommandFailure.failed(message) : CommandFailure.refused(message);
    }

    private static JsonNode parse(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw CommandFailure.failed("the answer isn't JSON; is this an admin address?");
        }
    }
}

package org.yuccagw.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import javax.net.ssl.SSLContext;
import org.yuccagw.adapters.http.BoundedJson;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpRequest;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.core.id.NetworkAddress;

/**
 * Calls the admin API of an entry. A refused request and a missing answer throw a {@link CommandException}, each with
 * its own exit code.
 */
final class AdminClient implements AutoCloseable {
    private static final ObjectMapper MAPPER = BoundedJson.mapper();
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(20);

    private final NetworkAddress address;
    private final String key;
    private final HttpClient httpClient;

    private AdminClient(NetworkAddress address, String key, HttpClient httpClient) {
        this.address = address;
        this.key = key;
        this.httpClient = httpClient;
    }

    static AdminClient start(NetworkAddress address, String key, Optional<SSLContext> tls) {
        try {
            HttpClient httpClient = tls.isPresent() ? HttpClient.start(1, tls.get()) : HttpClient.start(1);
            return new AdminClient(address, key, httpClient);
        } catch (IOException e) {
            throw CommandException.failed("the I/O thread can't be started: " + e.getMessage());
        }
    }

    @Override
    public void close() {
        httpClient.stop();
    }

    JsonNode get(String path) {
        return parse(getText(path));
    }

    String getText(String path) {
        return requireSuccess(send(HttpRequest.get(address, path)));
    }

    JsonNode post(String path) {
        return parse(requireSuccess(send(HttpRequest.of("POST", address, path))));
    }

    JsonNode put(String path, String document) {
        return parse(requireSuccess(send(HttpRequest.json("PUT", address, path, document))));
    }

    /** Returns the answer of another entry to {@code GET /readyz}, ready or not; empty if there is no answer. */
    Optional<JsonNode> readiness(NetworkAddress other) {
        try {
            return Optional.of(parse(send(HttpRequest.get(other, "/readyz")).text()));
        } catch (CommandException ignored) {
            return Optional.empty();
        }
    }

    private HttpResponse send(HttpRequest request) {
        HttpRequest authorized = request.withHeader("Authorization", "Bearer " + key)
                .withTimeouts(CONNECT_TIMEOUT, READ_TIMEOUT)
                .withStatedEndRequired();
        try {
            return httpClient.send(authorized).get();
        } catch (ExecutionException e) {
            throw CommandException.unreachable(
                    request.address() + " did not answer: " + e.getCause().getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw CommandException.failed("interrupted");
        }
    }

    private static String requireSuccess(HttpResponse answer) {
        if (answer.isSuccess()) {
            return answer.text();
        }
        String message = parse(answer.text()).path("error").path("message").asText("status " + answer.status());
        throw answer.status() >= 500 ? CommandException.failed(message) : CommandException.refused(message);
    }

    private static JsonNode parse(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw CommandException.failed("the answer isn't JSON; check that the address is an admin address");
        }
    }
}

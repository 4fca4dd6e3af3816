package org.yuccagw.standins.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpRequest;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.core.id.NetworkAddress;

/** HTTP client of one address with blocking calls, for tests only. */
public final class TestCaller {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);

    private final HttpClient httpClient;
    private final NetworkAddress address;

    private TestCaller(HttpClient httpClient, NetworkAddress address) {
        this.httpClient = httpClient;
        this.address = address;
    }

    public static TestCaller to(NetworkAddress address) throws Exception {
        return new TestCaller(HttpClient.start(1), address);
    }

    public void stop() {
        httpClient.stop();
    }

    public CompletableFuture<HttpResponse> send(String method, String path, byte[] body) {
        return httpClient.send(HttpRequest.of(method, address, path, body).withTimeouts(TIMEOUT, TIMEOUT));
    }

    public HttpResponse call(String method, String path, byte[] body) throws Exception {
        return send(method, path, body).get(60, TimeUnit.SECONDS);
    }

    public HttpResponse call(String method, String path) throws Exception {
        return call(method, path, new byte[0]);
    }

    public HttpResponse call(String method, String path, JsonNode body) throws Exception {
        return call(method, path, StandInJson.bytes(body));
    }

    public static JsonNode json(HttpResponse answer) {
        return StandInJson.parse(answer.body());
    }
}

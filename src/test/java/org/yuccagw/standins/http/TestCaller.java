package org.yuccagw.standins.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpQuery;
import org.yuccagw.core.id.NetworkAddress;

/** Calls one address and waits for the answer; for tests only. */
public final class TestCaller {
    private static final Duration LONG = Duration.ofSeconds(60);

    private final HttpClient caller;
    private final NetworkAddress address;

    private TestCaller(HttpClient caller, NetworkAddress address) {
        this.caller = caller;
        this.address = address;
    }

    public static TestCaller to(NetworkAddress address) throws Exception {
        return new TestCaller(HttpClient.start(1), address);
    }

    public void stop() {
        caller.stop();
    }

    public CompletableFuture<HttpResponse> send(String method, String path, byte[] body) {
        return caller.send(HttpQuery.of(method, address, path, body).withTimeouts(LONG, LONG));
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

package org.yuccagw.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpRequest;
import org.yuccagw.bench.invariant.ObservedRequest;
import org.yuccagw.bench.invariant.ObservedRequest.Sending;
import org.yuccagw.standins.engine.EngineStandIn;
import org.yuccagw.standins.engine.SseText;
import org.yuccagw.standins.http.StandInJson;

/** The callers of a test: they send requests, each with its own marker word, and record their outcomes. */
final class Callers {
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(5);
    private static final String PREAMBLE = "The cells above define the survey tables of the ministry. ".repeat(12);

    private static final AtomicInteger NEXT_NUMBER = new AtomicInteger();

    private final HttpClient http;
    private final Map<String, List<Sending>> attempts = new LinkedHashMap<>();
    private final Map<String, Request> requests = new LinkedHashMap<>();
    private final Map<String, List<String>> descriptions = new LinkedHashMap<>();

    Callers(HttpClient http) {
        this.http = http;
    }

    /** A request, which is the same in each attempt. */
    record Request(String workspace, String service, String marker, int tokens) {
        boolean isPlain() {
            return service.equals("letters");
        }

        boolean nonIdempotent() {
            return !service.equals("assistant");
        }

        String prompt() {
            return "Notebook of " + workspace + ". " + PREAMBLE + marker + " ";
        }

        /** Builds the HTTP request. The idempotency key is the marker. */
        private HttpRequest httpRequest(EntryProcess entry) {
            byte[] body = isPlain() ? marker.getBytes(StandardCharsets.UTF_8) : modelBody();
            String path = isPlain() ? "/letters/send" : "/v1/completions";
            HttpRequest httpRequest = HttpRequest.of("POST", entry.callerAddress(), path, body)
                    .withHeader("Content-Type", isPlain() ? "text/plain" : "application/json")
                    .withHeader("Authorization", "Bearer " + workspace + "-key");
            return nonIdempotent() ? httpRequest.withHeader("Idempotency-Key", marker) : httpRequest;
        }

        byte[] modelBody() {
            return StandInJson.bytes(StandInJson.object()
                    .put("model", service)
                    .put("prompt", prompt())
                    .put("max_tokens", tokens)
                    .put("stream", true));
        }

        String expectedAnswer() {
            return isPlain()
                    ? Hashing.sha256()
                            .hashString(marker, StandardCharsets.UTF_8)
                            .toString()
                    : EngineStandIn.expectedAnswer(prompt(), tokens);
        }
    }

    Request newRequest(String workspace, String service, int tokens) {
        return newRequest(workspace, service, tokens, workspace);
    }

    /** Creates a prompt that crashes each engine that runs it. */
    Request newCrashingRequest(String workspace) {
        return newRequest(workspace, "assistant", 1, "poison-" + workspace);
    }

    private Request newRequest(String workspace, String service, int tokens, String markerWord) {
        Request request =
                new Request(workspace, service, "marker-" + markerWord + "-" + NEXT_NUMBER.incrementAndGet(), tokens);
        requests.put(request.marker(), request);
        attempts.put(request.marker(), new ArrayList<>());
        descriptions.put(request.marker(), new ArrayList<>());
        return request;
    }

    StreamedCall start(Request request, EntryProcess entry) {
        return StreamedCall.start(http, request.httpRequest(entry), READ_TIMEOUT);
    }

    /**
     * Requests from another entry the pieces of the answer after those received, without the body of the first
     * request.
     */
    StreamedCall resume(Request request, EntryProcess entry, StreamedCall first) {
        String path = "/v1/resume?token=" + first.header("X-Resume-Token") + "&from="
                + first.events().lastId();
        HttpRequest httpRequest = HttpRequest.get(entry.callerAddress(), path)
                .withHeader("Authorization", "Bearer " + request.workspace() + "-key");
        return StreamedCall.start(http, httpRequest, READ_TIMEOUT);
    }

    /** Sends a request, waits for the end and records the outcome. */
    Sending send(Request request, EntryProcess entry) throws Exception {
        return record(request, start(request, entry).awaitEnd());
    }

    /** Records the outcome of a call that has ended. */
    Sending record(Request request, StreamedCall call) {
        Sending sending = read(request, call);
        descriptions.get(request.marker()).add(call.describe());
        attempts.get(request.marker()).add(sending);
        return sending;
    }

    /** Records an answer that was received over two connections. */
    Sending recordResumed(Request request, StreamedCall first, StreamedCall rest) {
        SseText begin = first.events();
        SseText end = rest.events();
        List<Integer> numbers = new ArrayList<>(begin.ids());
        numbers.addAll(end.ids());
        String text = begin.text() + end.text();
        Sending sending = end.isWhole()
                ? Sending.answered(text, request.expectedAnswer(), numbers)
                : Sending.unclear(text, request.expectedAnswer(), numbers);
        attempts.get(request.marker()).add(sending);
        return sending;
    }

    /** Describes the outcome of each attempt, for the message of a failing test. */
    String history(Request request) {
        return request.marker() + ": " + descriptions.get(request.marker());
    }

    /** Returns all requests as their callers observed them. */
    List<ObservedRequest> observed() {
        return requests.values().stream()
                .map(request -> new ObservedRequest(
                        request.workspace(), request.marker(), request.nonIdempotent(), attempts.get(request.marker())))
                .toList();
    }

    private static Sending read(Request request, StreamedCall call) {
        if (call.error().path("ran").asText().equals("not-run")) {
            return Sending.notRun();
        }
        if (request.isPlain()) {
            return readPlain(request, call);
        }
        SseText events = call.events();
        boolean whole = call.status() == 200 && events.isWhole() && call.error().isEmpty();
        return whole
                ? Sending.answered(events.text(), request.expectedAnswer(), events.ids())
                : Sending.unclear(events.text(), request.expectedAnswer(), events.ids());
    }

    private static Sending readPlain(Request request, StreamedCall call) {
        if (call.status() != 200 || !call.isComplete()) {
            return Sending.unclear("", request.expectedAnswer(), List.of());
        }
        JsonNode answer = StandInJson.parse(call.text().getBytes(StandardCharsets.UTF_8));
        return Sending.answered(answer.path("body_hash").asText(), request.expectedAnswer(), List.of());
    }
}

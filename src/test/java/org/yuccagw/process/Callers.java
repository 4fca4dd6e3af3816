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
import org.yuccagw.adapters.http.HttpQuery;
import org.yuccagw.bench.invariant.ObservedRequest;
import org.yuccagw.bench.invariant.ObservedRequest.Sending;
import org.yuccagw.standins.engine.EngineStandIn;
import org.yuccagw.standins.engine.SseText;
import org.yuccagw.standins.http.StandInJson;

/** The callers of a test: they send requests, each with a marker word of its own, and note what came of them. */
final class Callers {
    private static final Duration SILENCE = Duration.ofSeconds(5);
    private static final String PREAMBLE = "The cells above define the survey tables of the ministry. ".repeat(12);

    private static final AtomicInteger NUMBERS = new AtomicInteger();

    private final HttpClient http;
    private final Map<String, List<Sending>> sendings = new LinkedHashMap<>();
    private final Map<String, Request> requests = new LinkedHashMap<>();
    private final Map<String, List<String>> notes = new LinkedHashMap<>();

    Callers(HttpClient http) {
        this.http = http;
    }

    /** What is asked for, the same at each sending. */
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

        /** The key of a request is its marker. */
        private HttpQuery query(EntryProcess entry) {
            byte[] body = isPlain() ? marker.getBytes(StandardCharsets.UTF_8) : modelBody();
            String path = isPlain() ? "/letters/send" : "/v1/completions";
            HttpQuery query = HttpQuery.of("POST", entry.callerAddress(), path, body)
                    .withHeader("Content-Type", isPlain() ? "text/plain" : "application/json")
                    .withHeader("Authorization", "Bearer " + workspace + "-key");
            return nonIdempotent() ? query.withHeader("Idempotency-Key", marker) : query;
        }

        byte[] modelBody() {
            return StandInJson.bytes(StandInJson.object()
                    .put("model", service)
                    .put("prompt", prompt())
                    .put("max_tokens", tokens)
                    .put("stream", true));
        }

        String expected() {
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

    /** A prompt that ends each engine that runs it. */
    Request newPoison(String workspace) {
        return newRequest(workspace, "assistant", 1, "poison-" + workspace);
    }

    private Request newRequest(String workspace, String service, int tokens, String word) {
        Request request = new Request(workspace, service, "marker-" + word + "-" + NUMBERS.incrementAndGet(), tokens);
        requests.put(request.marker(), request);
        sendings.put(request.marker(), new ArrayList<>());
        notes.put(request.marker(), new ArrayList<>());
        return request;
    }

    StreamedCall begin(Request request, EntryProcess entry) {
        return StreamedCall.begin(http, request.query(entry), SILENCE);
    }

    /** Asks another entry for what comes after the pieces so far, without the first request's body. */
    StreamedCall resume(Request request, EntryProcess entry, StreamedCall first) {
        String path = "/v1/resume?token=" + first.header("X-Resume-Token") + "&from="
                + first.events().lastId();
        HttpQuery query = HttpQuery.get(entry.callerAddress(), path)
                .withHeader("Authorization", "Bearer " + request.workspace() + "-key");
        return StreamedCall.begin(http, query, SILENCE);
    }

    /** Sends it, waits for the end and notes what came. */
    Sending send(Request request, EntryProcess entry) throws Exception {
        return note(request, begin(request, entry).awaitEnd());
    }

    /** Notes what came of a call that is over. */
    Sending note(Request request, StreamedCall call) {
        Sending sending = read(request, call);
        notes.get(request.marker()).add(call.describe());
        sendings.get(request.marker()).add(sending);
        return sending;
    }

    /** Notes an answer that came over two connections. */
    Sending noteResumed(Request request, StreamedCall first, StreamedCall rest) {
        SseText begin = first.events();
        SseText end = rest.events();
        List<Integer> numbers = new ArrayList<>(begin.ids());
        numbers.addAll(end.ids());
        String text = begin.text() + end.text();
        Sending sending = end.isWhole()
                ? Sending.answered(text, request.expected(), numbers)
                : Sending.unclear(text, request.expected(), numbers);
        sendings.get(request.marker()).add(sending);
        return sending;
    }

    /** What came of each sending, for the message of a failing test. */
    String history(Request request) {
        return request.marker() + ": " + notes.get(request.marker());
    }

    /** All requests as their callers saw them. */
    List<ObservedRequest> observed() {
        return requests.values().stream()
                .map(request -> new ObservedRequest(
                        request.workspace(), request.marker(), request.nonIdempotent(), sendings.get(request.marker())))
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
                ? Sending.answered(events.text(), request.expected(), events.ids())
                : Sending.unclear(events.text(), request.expected(), events.ids());
    }

    private static Sending readPlain(Request request, StreamedCall call) {
        if (call.status() != 200 || !call.isComplete()) {
            return Sending.unclear("", request.expected(), List.of());
        }
        JsonNode answer = StandInJson.parse(call.text().getBytes(StandardCharsets.UTF_8));
        return Sending.answered(answer.path("body_hash").asText(), request.expected(), List.of());
    }
}

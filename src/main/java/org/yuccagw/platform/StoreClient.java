package org.yuccagw.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpRequest;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.adapters.http.JsonText;
import org.yuccagw.adapters.http.UntrustedInput;
import org.yuccagw.core.control.ActionHandler;
import org.yuccagw.core.control.ControlAction;
import org.yuccagw.core.control.ControlInput;
import org.yuccagw.core.deployment.CacheStore;
import org.yuccagw.core.id.StoreId;
import org.yuccagw.core.notice.EndpointNotice;
import org.yuccagw.core.stores.PartName;
import org.yuccagw.core.stores.StoreAnswer;
import org.yuccagw.core.stores.StoreAnswer.Change;
import org.yuccagw.core.stores.StoreCall;

/** HTTP client of the cache stores: reads their events and contents, and frees parts of prompts in them. */
public final class StoreClient implements ActionHandler {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration READ_TIMEOUT_MARGIN = Duration.ofMillis(600);
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(2);
    private final HttpClient httpClient;

    private StoreClient(HttpClient httpClient) {
        this.httpClient = httpClient;
    }

    public static StoreClient of(HttpClient httpClient) {
        return new StoreClient(httpClient);
    }

    @Override
    public boolean perform(ControlAction action, ControlInput input) {
        if (action instanceof StoreCall.PollChanges call) {
            HttpRequest request = HttpRequest.get(call.store().address(), "/kv-events?since=" + call.since())
                    .withHeader("Wait-Ms", Long.toString(call.maxWait().toMillis()))
                    .withTimeouts(CONNECT_TIMEOUT, call.maxWait().plus(READ_TIMEOUT_MARGIN));
            send(call, request, input);
            return true;
        }
        if (action instanceof StoreCall.ListParts call) {
            send(call, listRequest(call.store()), input);
            return true;
        }
        if (action instanceof StoreCall.Inspect call) {
            inspect(call, input);
            return true;
        }
        if (action instanceof StoreCall.FreeParts call) {
            freeParts(call, input);
            return true;
        }
        return false;
    }

    private static HttpRequest listRequest(CacheStore store) {
        return HttpRequest.get(store.address(), "/kv-list").withTimeouts(CONNECT_TIMEOUT, READ_TIMEOUT);
    }

    private void inspect(StoreCall.Inspect call, ControlInput input) {
        httpClient.send(listRequest(call.store())).whenComplete((answer, failure) -> {
            Optional<StoreAnswer.Contents> contents = failure == null ? readContents(answer) : Optional.empty();
            input.offer(new StoreAnswer.Inspected(call.store().id(), contents));
        });
    }

    private static Optional<StoreAnswer.Contents> readContents(HttpResponse answer) {
        if (!answer.isSuccess()) {
            return Optional.empty();
        }
        try {
            return Optional.of(UntrustedInput.read(() -> parseContents(JsonText.read(answer.body()))));
        } catch (IOException unreadable) {
            // Treated like a missing answer, which the caller logs before it retries.
            return Optional.empty();
        }
    }

    private static StoreAnswer.Contents parseContents(JsonNode body) {
        return new StoreAnswer.Contents(
                body.required("bootEpoch").asLong(),
                readStoredParts(body.path("held")),
                readPartialParts(body.path("partial")));
    }

    private void freeParts(StoreCall.FreeParts call, ControlInput input) {
        ObjectNode body = JsonText.object().put("bootEpoch", call.epoch());
        ArrayNode parts = body.putArray("parts");
        call.parts().forEach(name -> parts.addArray().add(name.salt()).add(name.part()));
        HttpRequest request = HttpRequest.json("POST", call.store().address(), "/kv-free", JsonText.write(body))
                .withTimeouts(CONNECT_TIMEOUT, READ_TIMEOUT);
        httpClient.send(request).whenComplete((answer, failure) -> {
            boolean succeeded = failure == null && answer.isSuccess();
            String detail = failure == null ? "status " + answer.status() : failure.toString();
            input.offer(new StoreAnswer.Freed(call.store().id(), succeeded, detail));
        });
    }

    private void send(StoreCall call, HttpRequest request, ControlInput input) {
        StoreId store = call.store().id();
        httpClient.send(request).whenComplete((answer, failure) -> {
            if (failure != null) {
                input.offer(new StoreAnswer.Unanswered(store, failure.toString()));
                return;
            }
            EndpointNotice notice = EndpointNoticeReader.read(answer.status(), answer.headers());
            if (notice.hasContent()) {
                input.offer(new StoreAnswer.Notice(store, notice));
            }
            input.offer(readAnswer(call, answer));
        });
    }

    private static StoreAnswer readAnswer(StoreCall call, HttpResponse answer) {
        StoreId store = call.store().id();
        if (!answer.isSuccess()) {
            return new StoreAnswer.Unanswered(store, "status " + answer.status());
        }
        try {
            return UntrustedInput.read(() -> parseAnswer(call, JsonText.read(answer.body())));
        } catch (IOException e) {
            return new StoreAnswer.Unanswered(store, "unreadable: " + e.getMessage());
        }
    }

    private static StoreAnswer parseAnswer(StoreCall call, JsonNode body) {
        StoreId store = call.store().id();
        long epoch = body.required("bootEpoch").asLong();
        long next = body.required("nextToken").asLong();
        return call instanceof StoreCall.ListParts
                ? new StoreAnswer.Listed(store, epoch, next, readStoredParts(body.path("held")))
                : new StoreAnswer.Changes(
                        store,
                        epoch,
                        next,
                        body.path("lost").asBoolean(false),
                        body.path("clock_ms").asLong(0),
                        readChanges(body.path("events")));
    }

    /** Reads events, each of which is an array: [number, + or -, salt, part, stored tokens, model]. */
    private static ImmutableList<Change> readChanges(JsonNode events) {
        ImmutableList.Builder<Change> changes = ImmutableList.builder();
        for (JsonNode event : events) {
            changes.add(new Change(
                    event.path(1).asText().equals("+"),
                    event.path(2).asText(),
                    event.path(3).asText(),
                    event.path(4).asInt(),
                    event.path(5).asText()));
        }
        return changes.build();
    }

    /** Reads stored parts, each of which is an array: [salt, part, tokens, model]. */
    private static ImmutableList<Change> readStoredParts(JsonNode held) {
        ImmutableList.Builder<Change> changes = ImmutableList.builder();
        for (JsonNode part : held) {
            changes.add(new Change(
                    true,
                    part.path(0).asText(),
                    part.path(1).asText(),
                    part.path(2).asInt(),
                    part.path(3).asText()));
        }
        return changes.build();
    }

    /** Reads incomplete parts, each of which is an array: [salt, part, complete tokens, reserved tokens]. */
    private static ImmutableList<PartName> readPartialParts(JsonNode partial) {
        ImmutableList.Builder<PartName> names = ImmutableList.builder();
        for (JsonNode part : partial) {
            names.add(new PartName(part.path(0).asText(), part.path(1).asText()));
        }
        return names.build();
    }
}

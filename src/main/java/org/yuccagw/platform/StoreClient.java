package org.yuccagw.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpQuery;
import org.yuccagw.adapters.http.JsonText;
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

/** Asks cache stores for their events and lists, and frees parts there. */
public final class StoreClient implements ActionHandler {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration ANSWER_MARGIN = Duration.ofMillis(600);
    private static final Duration LIST_TIMEOUT = Duration.ofSeconds(2);
    private final HttpClient caller;

    private StoreClient(HttpClient caller) {
        this.caller = caller;
    }

    public static StoreClient of(HttpClient caller) {
        return new StoreClient(caller);
    }

    @Override
    public boolean perform(ControlAction action, ControlInput input) {
        if (action instanceof StoreCall.AskChanges ask) {
            HttpQuery query = HttpQuery.get(ask.store().address(), "/kv-events?since=" + ask.since())
                    .withHeader("Wait-Ms", Long.toString(ask.longestWait().toMillis()))
                    .withTimeouts(CONNECT_TIMEOUT, ask.longestWait().plus(ANSWER_MARGIN));
            send(ask, query, input);
            return true;
        }
        if (action instanceof StoreCall.AskList ask) {
            send(ask, listOf(ask.store()), input);
            return true;
        }
        if (action instanceof StoreCall.Inspect inspect) {
            inspect(inspect, input);
            return true;
        }
        if (action instanceof StoreCall.FreeParts free) {
            free(free, input);
            return true;
        }
        return false;
    }

    private static HttpQuery listOf(CacheStore store) {
        return HttpQuery.get(store.address(), "/kv-list").withTimeouts(CONNECT_TIMEOUT, LIST_TIMEOUT);
    }

    private void inspect(StoreCall.Inspect inspect, ControlInput input) {
        caller.send(listOf(inspect.store())).whenComplete((answer, failure) -> {
            Optional<StoreAnswer.Contents> contents = failure == null ? readContents(answer) : Optional.empty();
            input.offer(new StoreAnswer.Inspected(inspect.store().id(), contents));
        });
    }

    private static Optional<StoreAnswer.Contents> readContents(HttpResponse answer) {
        if (!answer.isSuccess()) {
            return Optional.empty();
        }
        try {
            JsonNode body = JsonText.read(answer.body());
            return Optional.of(new StoreAnswer.Contents(
                    body.required("bootEpoch").asLong(),
                    readHeld(body.path("held")),
                    readPartial(body.path("partial"))));
        } catch (IOException | IllegalArgumentException unreadable) {
            // As good as no answer; whoever asked logs that and asks again.
            return Optional.empty();
        }
    }

    private void free(StoreCall.FreeParts free, ControlInput input) {
        ObjectNode body = JsonText.object().put("bootEpoch", free.epoch());
        ArrayNode parts = body.putArray("parts");
        free.parts().forEach(name -> parts.addArray().add(name.salt()).add(name.part()));
        HttpQuery query = HttpQuery.json("POST", free.store().address(), "/kv-free", JsonText.write(body))
                .withTimeouts(CONNECT_TIMEOUT, LIST_TIMEOUT);
        caller.send(query).whenComplete((answer, failure) -> {
            boolean done = failure == null && answer.isSuccess();
            String detail = failure == null ? "status " + answer.status() : failure.toString();
            input.offer(new StoreAnswer.Freed(free.store().id(), done, detail));
        });
    }

    private void send(StoreCall call, HttpQuery query, ControlInput input) {
        StoreId store = call.store().id();
        caller.send(query).whenComplete((answer, failure) -> {
            if (failure != null) {
                input.offer(new StoreAnswer.Silent(store, failure.toString()));
                return;
            }
            EndpointNotice notice = EndpointNoticeReader.read(answer.status(), answer.headers());
            if (notice.hasContent()) {
                input.offer(new StoreAnswer.Noticed(store, notice));
            }
            input.offer(read(call, answer));
        });
    }

    private static StoreAnswer read(StoreCall call, HttpResponse answer) {
        StoreId store = call.store().id();
        if (!answer.isSuccess()) {
            return new StoreAnswer.Silent(store, "status " + answer.status());
        }
        try {
            JsonNode body = JsonText.read(answer.body());
            long epoch = body.required("bootEpoch").asLong();
            long next = body.required("nextToken").asLong();
            return call instanceof StoreCall.AskList
                    ? new StoreAnswer.Listed(store, epoch, next, readHeld(body.path("held")))
                    : new StoreAnswer.Changes(
                            store,
                            epoch,
                            next,
                            body.path("lost").asBoolean(false),
                            body.path("clock_ms").asLong(0),
                            readChanges(body.path("events")));
        } catch (IOException | IllegalArgumentException e) {
            return new StoreAnswer.Silent(store, "unreadable: " + e.getMessage());
        }
    }

    /** An event is [number, + or -, salt, part, tokens stored now, model]. */
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

    /** A held part is [salt, part, tokens, model]. */
    private static ImmutableList<Change> readHeld(JsonNode held) {
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

    /** A partial part is [salt, part, tokens complete, tokens reserved]. */
    private static ImmutableList<PartName> readPartial(JsonNode partial) {
        ImmutableList.Builder<PartName> names = ImmutableList.builder();
        for (JsonNode part : partial) {
            names.add(new PartName(part.path(0).asText(), part.path(1).asText()));
        }
        return names.build();
    }
}

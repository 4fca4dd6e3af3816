package org.yuccagw.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.time.Duration;
import org.yuccagw.adapters.http.HttpAnswer;
import org.yuccagw.adapters.http.HttpCaller;
import org.yuccagw.adapters.http.HttpQuery;
import org.yuccagw.core.control.ActionHandler;
import org.yuccagw.core.control.ControlAction;
import org.yuccagw.core.control.ControlInput;
import org.yuccagw.core.id.StoreId;
import org.yuccagw.core.stores.StoreAnswer;
import org.yuccagw.core.stores.StoreAnswer.Change;
import org.yuccagw.core.stores.StoreCall;

/** Asks cache stores for their events and lists. */
public final class StoreCaller implements ActionHandler {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration ANSWER_MARGIN = Duration.ofMillis(600);
    private static final Duration LIST_TIMEOUT = Duration.ofSeconds(2);
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpCaller caller;

    private StoreCaller(HttpCaller caller) {
        this.caller = caller;
    }

    public static StoreCaller of(HttpCaller caller) {
        return new StoreCaller(caller);
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
            HttpQuery query =
                    HttpQuery.get(ask.store().address(), "/kv-list").withTimeouts(CONNECT_TIMEOUT, LIST_TIMEOUT);
            send(ask, query, input);
            return true;
        }
        return false;
    }

    private void send(StoreCall call, HttpQuery query, ControlInput input) {
        StoreId store = call.store().id();
        caller.send(query)
                .whenComplete((answer, failure) -> input.offer(
                        failure == null ? read(call, answer) : new StoreAnswer.Silent(store, failure.toString())));
    }

    private static StoreAnswer read(StoreCall call, HttpAnswer answer) {
        StoreId store = call.store().id();
        if (!answer.isSuccess()) {
            return new StoreAnswer.Silent(store, "status " + answer.status());
        }
        try {
            JsonNode body = JSON.readTree(answer.body());
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
                    event.path(4).asInt()));
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
                    part.path(2).asInt()));
        }
        return changes.build();
    }
}

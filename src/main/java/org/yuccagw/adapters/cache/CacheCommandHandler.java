package org.yuccagw.adapters.cache;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpQuery;
import org.yuccagw.core.cache.CacheCommand;
import org.yuccagw.core.cache.CacheCommand.StoreAddress;
import org.yuccagw.core.cache.EngineCacheUpdate;
import org.yuccagw.core.cache.StoreUpdate;
import org.yuccagw.core.control.ActionHandler;
import org.yuccagw.core.control.ControlAction;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.ControlInput;

/**
 * Carries out {@link CacheCommand}s by HTTP and gives their outcomes as events.
 *
 * <p>Whatever goes wrong becomes an event too: an error status, a body that isn't the expected JSON, a connection that
 * fails or falls silent. Every order has exactly one outcome, but for deletions, which need none.
 */
public final class CacheCommandHandler implements ActionHandler {
    private static final Duration CONNECT = Duration.ofSeconds(1);
    private static final Duration SHORT_ANSWER = Duration.ofSeconds(2);
    private static final int LANES = 8;

    private final HttpClient caller;
    private final ImportClient imports;

    private CacheCommandHandler(HttpClient caller, ImportClient imports) {
        this.caller = caller;
        this.imports = imports;
    }

    /** Orders over this caller; prefetches go through the client that also imports for requests. */
    public static CacheCommandHandler of(HttpClient caller, ImportClient imports) {
        return new CacheCommandHandler(caller, imports);
    }

    @Override
    public boolean perform(ControlAction action, ControlInput input) {
        if (!(action instanceof CacheCommand order)) {
            return false;
        }
        if (order instanceof CacheCommand.ExportBlocks export) {
            export(export, input);
        } else if (order instanceof CacheCommand.ReadCacheEvents read) {
            ask(
                    HttpQuery.get(read.address(), "/v1/cache/events?after=" + read.after()),
                    answer -> CacheJson.events(read.endpoint(), answer),
                    reason -> new EngineCacheUpdate.ReadFailed(read.endpoint()),
                    input);
        } else if (order instanceof CacheCommand.ReadCacheSnapshot read) {
            ask(
                    HttpQuery.get(read.address(), "/v1/cache/snapshot"),
                    answer -> CacheJson.snapshot(read.endpoint(), answer),
                    reason -> new EngineCacheUpdate.ReadFailed(read.endpoint()),
                    input);
        } else if (order instanceof CacheCommand.PrefetchBlocks prefetch) {
            imports.prefetch(prefetch);
        } else {
            performAtStore(order, input);
        }
        return true;
    }

    private void performAtStore(CacheCommand order, ControlInput input) {
        if (order instanceof CacheCommand.LookUpBlocks lookUp) {
            lookUp(lookUp, input);
        } else if (order instanceof CacheCommand.ReadStoreStatus read) {
            askStore(
                    read.store(),
                    "/v1/status",
                    answer -> CacheJson.status(read.store().id(), answer),
                    input);
        } else if (order instanceof CacheCommand.ReadUnsealed read) {
            askStore(
                    read.store(),
                    "/v1/unsealed",
                    answer -> CacheJson.unsealed(read.store().id(), answer),
                    input);
        } else if (order instanceof CacheCommand.ReadStorePage read) {
            readPage(read, input);
        } else if (order instanceof CacheCommand.DeleteBlocks delete) {
            InTurn.of(
                            delete.blocks(),
                            LANES,
                            (block, done) -> sendQuietly(
                                    HttpQuery.of(
                                            "DELETE",
                                            delete.store().address(),
                                            "/v1/blocks/" + block.key() + "?generation=" + block.generation()),
                                    done))
                    .run(deleted -> {});
        } else if (order instanceof CacheCommand.MoveBlocks move) {
            move(move, input);
        }
    }

    private void export(CacheCommand.ExportBlocks export, ControlInput input) {
        ObjectNode body = CacheJson.object()
                .put("store", export.store().address().toString())
                .put("writer", export.writer());
        body.set("blocks", CacheJson.keys(export.blocks()));
        HttpQuery query = HttpQuery.json("POST", export.endpoint().address(), "/v1/cache/export", CacheJson.write(body))
                .withTimeouts(CONNECT, export.deadline());
        ask(
                query,
                answer -> new EngineCacheUpdate.ExportEnded(
                        export.number(),
                        export.endpoint().id(),
                        CacheJson.exported(answer, export.blocks()),
                        answer.path("full").asBoolean(),
                        Optional.empty()),
                reason -> new EngineCacheUpdate.ExportEnded(
                        export.number(), export.endpoint().id(), List.of(), false, Optional.of(reason)),
                input);
    }

    private void lookUp(CacheCommand.LookUpBlocks lookUp, ControlInput input) {
        ObjectNode body = CacheJson.object();
        body.set("blocks", CacheJson.keys(lookUp.blocks()));
        HttpQuery query = HttpQuery.json("POST", lookUp.store().address(), "/v1/lookup", CacheJson.write(body));
        send(query, result -> {
            if (result.failure().isPresent()) {
                input.offer(new StoreUpdate.Failed(
                        lookUp.store().id(), result.failure().get()));
            }
            // The asking part waits for one answer from each store, also from one that failed.
            input.offer(new StoreUpdate.BlocksFound(
                    lookUp.number(),
                    lookUp.store().id(),
                    result.body()
                            .map(answer -> CacheJson.found(answer.path("found")))
                            .orElse(List.of())));
        });
    }

    private void readPage(CacheCommand.ReadStorePage read, ControlInput input) {
        String path = "/v1/blocks?after=" + read.afterKey() + "&limit=" + read.limit();
        askStore(
                read.store(),
                path,
                answer -> new StoreUpdate.PageRead(read.store().id(), CacheJson.found(answer.path("found"))),
                input);
    }

    private void move(CacheCommand.MoveBlocks move, ControlInput input) {
        InTurn.of(
                        move.blocks(),
                        LANES,
                        (block, done) -> sendQuietly(
                                HttpQuery.of(
                                        "POST",
                                        move.store().address(),
                                        "/v1/blocks/" + block.key() + "/move?generation=" + block.generation()
                                                + "&tier=" + move.tier().text()),
                                done))
                .run(moved ->
                        input.offer(new StoreUpdate.BlocksMoved(move.store().id(), move.tier(), moved)));
    }

    private void askStore(
            StoreAddress store, String path, Function<JsonNode, ControlEvent> outcome, ControlInput input) {
        ask(HttpQuery.get(store.address(), path), outcome, reason -> new StoreUpdate.Failed(store.id(), reason), input);
    }

    private void ask(
            HttpQuery query,
            Function<JsonNode, ControlEvent> outcome,
            Function<String, ControlEvent> failure,
            ControlInput input) {
        send(query, result -> {
            ControlEvent event;
            try {
                event = result.body().isPresent()
                        ? outcome.apply(result.body().get())
                        : failure.apply(result.failure().orElse("no answer"));
            } catch (IllegalArgumentException e) {
                event = failure.apply("the answer makes no sense: " + e.getMessage());
            }
            input.offer(event);
        });
    }

    private record Result(Optional<JsonNode> body, Optional<String> failure) {
        static Result failed(String reason) {
            return new Result(Optional.empty(), Optional.of(reason));
        }
    }

    private void send(HttpQuery query, Consumer<Result> done) {
        caller.send(withShortTimeouts(query)).whenComplete((answer, failure) -> done.accept(read(answer, failure)));
    }

    private static HttpQuery withShortTimeouts(HttpQuery query) {
        boolean isExport = query.path().equals("/v1/cache/export");
        return isExport ? query : query.withTimeouts(CONNECT, SHORT_ANSWER);
    }

    private static Result read(HttpResponse answer, Throwable failure) {
        if (failure != null) {
            return Result.failed(String.valueOf(failure.getMessage()));
        }
        if (!answer.isSuccess()) {
            return Result.failed("status " + answer.status());
        }
        try {
            return new Result(Optional.of(CacheJson.read(answer.body())), Optional.empty());
        } catch (IOException e) {
            return Result.failed("the answer isn't JSON");
        }
    }

    private void sendQuietly(HttpQuery query, Consumer<Boolean> done) {
        caller.send(query.withTimeouts(CONNECT, SHORT_ANSWER))
                .whenComplete((answer, failure) -> done.accept(failure == null && answer.isSuccess()));
    }
}

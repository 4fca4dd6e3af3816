package org.yuccagw.adapters.cache;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpRequest;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.core.cache.CacheCommand;
import org.yuccagw.core.cache.CacheCommand.StoreAddress;
import org.yuccagw.core.cache.EngineCacheUpdate;
import org.yuccagw.core.cache.StoreUpdate;
import org.yuccagw.core.control.ActionHandler;
import org.yuccagw.core.control.ControlAction;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.ControlInput;

/**
 * Executes {@link CacheCommand}s over HTTP and reports their outcomes as events.
 *
 * <p>Failures are reported as events too: an error status, a body that isn't the expected JSON, a connection that fails
 * or is silent past its timeout. Every command has exactly one outcome, except deletions, which have none.
 */
public final class CacheCommandHandler implements ActionHandler {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_CONCURRENT_CALLS = 8;

    private final HttpClient httpClient;
    private final ImportClient importClient;

    private CacheCommandHandler(HttpClient httpClient, ImportClient importClient) {
        this.httpClient = httpClient;
        this.importClient = importClient;
    }

    /** Returns a handler. Prefetches use the import client that also imports blocks for requests. */
    public static CacheCommandHandler of(HttpClient httpClient, ImportClient importClient) {
        return new CacheCommandHandler(httpClient, importClient);
    }

    @Override
    public boolean perform(ControlAction action, ControlInput input) {
        if (!(action instanceof CacheCommand command)) {
            return false;
        }
        if (command instanceof CacheCommand.ExportBlocks export) {
            export(export, input);
        } else if (command instanceof CacheCommand.ReadCacheEvents read) {
            sendAndReport(
                    HttpRequest.get(read.address(), "/v1/cache/events?after=" + read.after()),
                    answer -> CacheJson.events(read.endpoint(), answer),
                    reason -> new EngineCacheUpdate.ReadFailed(read.endpoint()),
                    input);
        } else if (command instanceof CacheCommand.ReadCacheSnapshot read) {
            sendAndReport(
                    HttpRequest.get(read.address(), "/v1/cache/snapshot"),
                    answer -> CacheJson.snapshot(read.endpoint(), answer),
                    reason -> new EngineCacheUpdate.ReadFailed(read.endpoint()),
                    input);
        } else if (command instanceof CacheCommand.PrefetchBlocks prefetch) {
            importClient.prefetch(prefetch);
        } else {
            performStoreCommand(command, input);
        }
        return true;
    }

    private void performStoreCommand(CacheCommand command, ControlInput input) {
        if (command instanceof CacheCommand.LookUpBlocks lookUp) {
            lookUp(lookUp, input);
        } else if (command instanceof CacheCommand.ReadStoreStatus read) {
            queryStore(
                    read.store(),
                    "/v1/status",
                    answer -> CacheJson.status(read.store().id(), answer),
                    input);
        } else if (command instanceof CacheCommand.ReadUnsealed read) {
            queryStore(
                    read.store(),
                    "/v1/unsealed",
                    answer -> CacheJson.unsealed(read.store().id(), answer),
                    input);
        } else if (command instanceof CacheCommand.ReadStorePage read) {
            readPage(read, input);
        } else if (command instanceof CacheCommand.DeleteBlocks delete) {
            BoundedConcurrentCalls.of(
                            delete.blocks(),
                            MAX_CONCURRENT_CALLS,
                            (block, done) -> sendForStatus(
                                    HttpRequest.of(
                                            "DELETE",
                                            delete.store().address(),
                                            "/v1/blocks/" + block.key() + "?generation=" + block.generation()),
                                    done))
                    .run(deleted -> {});
        } else if (command instanceof CacheCommand.MoveBlocks move) {
            move(move, input);
        }
    }

    private void export(CacheCommand.ExportBlocks export, ControlInput input) {
        ObjectNode body = CacheJson.object()
                .put("store", export.store().address().toString())
                .put("writer", export.writer());
        body.set("blocks", CacheJson.keys(export.blocks()));
        HttpRequest httpRequest = HttpRequest.json(
                        "POST", export.endpoint().address(), "/v1/cache/export", CacheJson.write(body))
                .withTimeouts(CONNECT_TIMEOUT, export.deadline());
        sendAndReport(
                httpRequest,
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
        HttpRequest httpRequest =
                HttpRequest.json("POST", lookUp.store().address(), "/v1/lookup", CacheJson.write(body));
        send(httpRequest, result -> {
            if (result.failure().isPresent()) {
                input.offer(new StoreUpdate.Failed(
                        lookUp.store().id(), result.failure().get()));
            }
            // The component that sent the lookup waits for one answer from each store, including one that failed.
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
        queryStore(
                read.store(),
                path,
                answer -> new StoreUpdate.PageRead(read.store().id(), CacheJson.found(answer.path("found"))),
                input);
    }

    private void move(CacheCommand.MoveBlocks move, ControlInput input) {
        BoundedConcurrentCalls.of(
                        move.blocks(),
                        MAX_CONCURRENT_CALLS,
                        (block, done) -> sendForStatus(
                                HttpRequest.of(
                                        "POST",
                                        move.store().address(),
                                        "/v1/blocks/" + block.key() + "/move?generation=" + block.generation()
                                                + "&tier=" + move.tier().text()),
                                done))
                .run(moved ->
                        input.offer(new StoreUpdate.BlocksMoved(move.store().id(), move.tier(), moved)));
    }

    private void queryStore(
            StoreAddress store, String path, Function<JsonNode, ControlEvent> toEvent, ControlInput input) {
        sendAndReport(
                HttpRequest.get(store.address(), path),
                toEvent,
                reason -> new StoreUpdate.Failed(store.id(), reason),
                input);
    }

    private void sendAndReport(
            HttpRequest httpRequest,
            Function<JsonNode, ControlEvent> toEvent,
            Function<String, ControlEvent> failure,
            ControlInput input) {
        send(httpRequest, result -> {
            ControlEvent event;
            try {
                event = result.body().isPresent()
                        ? toEvent.apply(result.body().get())
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

    private void send(HttpRequest httpRequest, Consumer<Result> done) {
        httpClient
                .send(withDefaultTimeouts(httpRequest))
                .whenComplete((answer, failure) -> done.accept(read(answer, failure)));
    }

    private static HttpRequest withDefaultTimeouts(HttpRequest httpRequest) {
        boolean isExport = httpRequest.path().equals("/v1/cache/export");
        return isExport ? httpRequest : httpRequest.withTimeouts(CONNECT_TIMEOUT, SILENCE_TIMEOUT);
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

    private void sendForStatus(HttpRequest httpRequest, Consumer<Boolean> done) {
        httpClient
                .send(httpRequest.withTimeouts(CONNECT_TIMEOUT, SILENCE_TIMEOUT))
                .whenComplete((answer, failure) -> done.accept(failure == null && answer.isSuccess()));
    }
}

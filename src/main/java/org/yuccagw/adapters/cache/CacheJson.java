package org.yuccagw.adapters.cache;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.yuccagw.adapters.http.BoundedJson;
import org.yuccagw.core.cache.BlockKey;
import org.yuccagw.core.cache.EngineCacheUpdate;
import org.yuccagw.core.cache.ReplicaIndex;
import org.yuccagw.core.cache.StoreTier;
import org.yuccagw.core.cache.StoreUpdate;
import org.yuccagw.core.cache.StoredBlock;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.StoreId;
import org.yuccagw.core.id.WeightVersion;

/** Converts between the core's types for cache blocks and the JSON that engines and stores exchange. */
final class CacheJson {
    private static final ObjectMapper JSON = BoundedJson.mapper();
    private static final double MILLIS_PER_SECOND = 1e3;

    private CacheJson() {}

    static ObjectNode object() {
        return JSON.createObjectNode();
    }

    static String write(JsonNode node) {
        try {
            return JSON.writeValueAsString(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a JSON tree could not be written", e);
        }
    }

    /**
     * Parses the body of an answer.
     *
     * @throws IOException if it isn't valid JSON, or if it is empty: an answer that broke off before its first byte
     *     mustn't be read as an empty list
     */
    static JsonNode read(byte[] body) throws IOException {
        JsonNode document = JSON.readTree(body);
        if (document.isMissingNode()) {
            throw new IOException("there is no JSON document");
        }
        return document;
    }

    static ArrayNode keys(List<BlockKey> keys) {
        ArrayNode array = JSON.createArrayNode();
        keys.forEach(key -> array.add(key.toString()));
        return array;
    }

    static ArrayNode storedBlocks(List<StoredBlock> blocks) {
        ArrayNode array = JSON.createArrayNode();
        for (StoredBlock block : blocks) {
            array.addObject()
                    .put("key", block.key().toString())
                    .put("generation", block.generation())
                    .put("length", block.length())
                    .put("checksum", block.checksum());
        }
        return array;
    }

    static EngineCacheUpdate.EventsRead events(EndpointId endpoint, JsonNode answer) {
        List<ReplicaIndex.Event> events = new ArrayList<>();
        for (JsonNode event : answer.path("events")) {
            events.add(new ReplicaIndex.Event(
                    event.path("sequence").asLong(),
                    event.path("kind").asText().equals("stored"),
                    readKeys(event.path("blocks"))));
        }
        return new EngineCacheUpdate.EventsRead(
                endpoint, answer.path("sequence").asLong(), events);
    }

    static EngineCacheUpdate.SnapshotRead snapshot(EndpointId endpoint, JsonNode answer) {
        String version = answer.path("version").asText();
        return new EngineCacheUpdate.SnapshotRead(
                endpoint,
                answer.path("sequence").asLong(),
                version.isBlank() ? Optional.empty() : Optional.of(WeightVersion.of(version)),
                readKeys(answer.path("blocks")));
    }

    /**
     * Returns the exported blocks in the order in which they were requested, which is their order in the prompt.
     *
     * <p>An engine exports several blocks concurrently and lists them in order of completion. Only a prefix of the
     * prompt without gaps is usable as a copy, so in the engine's order most of a complete export would seem to be
     * missing and would be exported again.
     */
    static List<StoredBlock> exported(JsonNode answer, List<BlockKey> requestedKeys) {
        Map<BlockKey, StoredBlock> byKey = new HashMap<>();
        for (JsonNode node : answer.path("exported")) {
            StoredBlock block = storedBlock(node);
            byKey.put(block.key(), block);
        }
        return requestedKeys.stream().filter(byKey::containsKey).map(byKey::get).toList();
    }

    static List<EngineCacheUpdate.FailedBlock> failed(JsonNode answer) {
        List<EngineCacheUpdate.FailedBlock> failed = new ArrayList<>();
        for (JsonNode block : answer.path("failed")) {
            failed.add(new EngineCacheUpdate.FailedBlock(
                    BlockKey.parse(block.path("key").asText()),
                    importFailure(block.path("reason").asText())));
        }
        return failed;
    }

    /** Returns the sealed blocks of a lookup or a page with their tiers. */
    static List<StoreUpdate.Found> found(JsonNode blocks) {
        List<StoreUpdate.Found> found = new ArrayList<>();
        for (JsonNode block : blocks) {
            found.add(new StoreUpdate.Found(
                    storedBlock(block), StoreTier.of(block.path("tier").asText())));
        }
        return found;
    }

    static StoreUpdate.StatusRead status(StoreId store, JsonNode answer) {
        return new StoreUpdate.StatusRead(
                store,
                usage(answer.path("memory")),
                usage(answer.path("disk")),
                answer.path("link_bytes_per_second").asDouble() / MILLIS_PER_SECOND);
    }

    static StoreUpdate.UnsealedRead unsealed(StoreId store, JsonNode answer) {
        List<StoreUpdate.Unsealed> blocks = new ArrayList<>();
        for (JsonNode block : answer.path("blocks")) {
            blocks.add(new StoreUpdate.Unsealed(
                    BlockKey.parse(block.path("key").asText()),
                    block.path("generation").asLong(),
                    block.path("writer").asText(),
                    block.path("age").asLong()));
        }
        return new StoreUpdate.UnsealedRead(store, blocks);
    }

    private static StoreUpdate.Usage usage(JsonNode tier) {
        return new StoreUpdate.Usage(
                tier.path("used").asLong(), tier.path("capacity").asLong());
    }

    private static StoredBlock storedBlock(JsonNode block) {
        return new StoredBlock(
                BlockKey.parse(block.path("key").asText()),
                block.path("generation").asLong(),
                block.path("length").asLong(),
                block.path("checksum").asLong());
    }

    private static EngineCacheUpdate.ImportFailure importFailure(String reason) {
        try {
            return EngineCacheUpdate.ImportFailure.valueOf(reason.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            return EngineCacheUpdate.ImportFailure.STORE;
        }
    }

    private static List<BlockKey> readKeys(JsonNode array) {
        List<BlockKey> keys = new ArrayList<>(array.size());
        array.forEach(key -> keys.add(BlockKey.parse(key.asText())));
        return keys;
    }
}

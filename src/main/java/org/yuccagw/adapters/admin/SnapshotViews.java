package org.yuccagw.adapters.admin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import org.yuccagw.adapters.http.BoundedJson;
import org.yuccagw.core.admission.AdmissionSnapshot;
import org.yuccagw.core.cache.StoresRequested;
import org.yuccagw.core.catalogue.Catalogue;
import org.yuccagw.core.claim.ClaimsSnapshot;
import org.yuccagw.core.control.ControlSnapshot;
import org.yuccagw.core.endpoint.EndpointStatus;
import org.yuccagw.core.endpoint.EndpointsSnapshot;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.membership.DirectorySnapshot;
import org.yuccagw.core.membership.EntryStatus;
import org.yuccagw.core.quarantine.QuarantineSnapshot;
import org.yuccagw.core.shard.ShardsSnapshot;
import org.yuccagw.core.suspect.SuspectPartsSnapshot;

/** Converts the contents of a snapshot to JSON documents for operators, without side effects. */
final class SnapshotViews {
    private static final ObjectMapper MAPPER = BoundedJson.mapper();
    /** The reason before the membership component has contributed to a snapshot. */
    private static final String NOT_STARTED = "has not joined the other entries yet";

    private final EntryId self;

    private SnapshotViews(EntryId self) {
        this.self = self;
    }

    static SnapshotViews of(EntryId self) {
        return new SnapshotViews(self);
    }

    static Catalogue catalogue(ControlSnapshot snapshot) {
        return snapshot.find(Catalogue.class).orElse(Catalogue.empty());
    }

    static boolean isReady(ControlSnapshot snapshot) {
        return snapshot.find(DirectorySnapshot.class)
                .map(DirectorySnapshot::ready)
                .orElse(false);
    }

    static String reason(ControlSnapshot snapshot) {
        return snapshot.find(DirectorySnapshot.class)
                .map(DirectorySnapshot::reason)
                .orElse(NOT_STARTED);
    }

    /**
     * Returns the readiness of this entry and the revision of its catalogue, which need no authentication to be read.
     */
    ObjectNode readiness(ControlSnapshot snapshot) {
        return MAPPER.createObjectNode()
                .put("entry", self.value())
                .put("ready", isReady(snapshot))
                .put("reason", reason(snapshot))
                .put("revision", catalogue(snapshot).revision());
    }

    ObjectNode status(ControlSnapshot snapshot) {
        ObjectNode root = readiness(snapshot);
        ArrayNode entries = root.putArray("entries");
        snapshot.find(DirectorySnapshot.class)
                .ifPresent(directory -> directory.entries().forEach(entry -> writeEntry(entry, entries.addObject())));
        writeRequests(snapshot, root.putObject("requests"));
        return root;
    }

    /** Writes the counts of this entry's running and waiting requests, claims, suspected prompts and permits. */
    private static void writeRequests(ControlSnapshot snapshot, ObjectNode node) {
        snapshot.find(AdmissionSnapshot.class)
                .ifPresent(admission -> node.put("running", admission.running())
                        .put("waiting", admission.waiting())
                        .put("refused", admission.refused()));
        snapshot.find(ClaimsSnapshot.class)
                .ifPresent(claims -> node.put("claims_running", claims.running())
                        .put("claim_ends_to_record", claims.endsToRecord())
                        .put("claim_shards", claims.ownedShards()));
        snapshot.find(QuarantineSnapshot.class)
                .ifPresent(quarantine -> node.put("suspected_prompts", quarantine.suspectedPrompts())
                        .put("permits", quarantine.permits()));
        snapshot.find(SuspectPartsSnapshot.class).ifPresent(parts -> writeSuspectParts(parts, node));
    }

    private static void writeSuspectParts(SuspectPartsSnapshot parts, ObjectNode node) {
        node.put("suspected_parts", parts.suspected());
        ArrayNode refused = node.putArray("refused_parts");
        parts.refused()
                .forEach(part -> refused.addObject()
                        .put("model", part.part().model())
                        .put("part", part.part().part())
                        .put("crashes", part.crashes())
                        .put("refused_for_s", part.age().toSeconds()));
    }

    ObjectNode endpoints(ControlSnapshot snapshot) {
        ObjectNode root = MAPPER.createObjectNode();
        ArrayNode endpoints = root.putArray("endpoints");
        snapshot.find(EndpointsSnapshot.class).orElse(EndpointsSnapshot.empty()).byId().values().stream()
                .sorted((left, right) -> left.id().compareTo(right.id()))
                .forEach(endpoint -> writeEndpoint(endpoint, endpoints.addObject()));
        return root;
    }

    ObjectNode shards(ControlSnapshot snapshot) {
        ObjectNode root = MAPPER.createObjectNode();
        ArrayNode shards = root.putArray("shards");
        snapshot.find(ShardsSnapshot.class)
                .ifPresent(ownerships -> ownerships
                        .owners()
                        .forEach((shard, ownership) -> shards.addObject()
                                .put("shard", shard.value())
                                .put("owner", ownership.owner().value())
                                .put("epoch", ownership.epoch())));
        root.put(
                "count",
                snapshot.find(ShardsSnapshot.class).map(ShardsSnapshot::count).orElse(0));
        return root;
    }

    ObjectNode stores(List<StoresRequested.StoreStatus> statuses) {
        ObjectNode root = MAPPER.createObjectNode();
        ArrayNode stores = root.putArray("stores");
        statuses.forEach(store -> writeStore(store, stores.addObject()));
        return root;
    }

    private static void writeStore(StoresRequested.StoreStatus store, ObjectNode node) {
        node.put("store", store.store().value());
        node.put("usable", store.usable());
        node.put("memory_used_bytes", store.memory().usedBytes());
        node.put("memory_capacity_bytes", store.memory().capacityBytes());
        node.put("disk_used_bytes", store.disk().usedBytes());
        node.put("disk_capacity_bytes", store.disk().capacityBytes());
        node.put("foreground_bytes", store.foregroundBytes());
        node.put("background_bytes", store.backgroundBytes());
        node.put("address", store.address().toString());
    }

    private static void writeEntry(EntryStatus entry, ObjectNode node) {
        node.put("entry", entry.entry().value());
        node.put("state", entry.state().name().toLowerCase(Locale.ROOT));
        node.put("domain", entry.domain().value());
        node.put("incarnation", entry.incarnation());
        node.put("caller", entry.callerAddress().toString());
        node.put("admin", entry.adminAddress().toString());
        node.put("peer", entry.peerAddress().toString());
        node.put("load", entry.load());
        node.put("revision", entry.catalogueRevision());
    }

    private static void writeEndpoint(EndpointStatus endpoint, ObjectNode node) {
        node.put("endpoint", endpoint.id().value());
        node.put("pool", endpoint.pool());
        node.put("takes_new_work", endpoint.takesNewWork());
        node.put("version", endpoint.version().map(Object::toString).orElse(""));
        node.put("software", endpoint.software().value());
        node.put("domain", endpoint.domain().value());
        node.put("vm", endpoint.vm().value());
        node.put("incarnation", endpoint.incarnation());
        node.put("address", endpoint.address().toString());
    }
}

package org.yuccagw.adapters.settings;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.yuccagw.core.catalogue.Catalogue;
import org.yuccagw.core.catalogue.Limits;
import org.yuccagw.core.catalogue.OperatorKey;
import org.yuccagw.core.catalogue.RequestClass;
import org.yuccagw.core.catalogue.Service;
import org.yuccagw.core.catalogue.SystemLimits;
import org.yuccagw.core.catalogue.Workspace;

/** Writes a catalogue as the JSON tree of the documents that {@link CatalogueReader} reads. */
final class CatalogueWriter {
    private CatalogueWriter() {}

    static void write(Catalogue catalogue, ObjectNode root) {
        root.put("revision", catalogue.revision());
        writeSystem(catalogue.system(), root.putObject("system"));
        ObjectNode classes = root.putObject("classes");
        catalogue.classes().forEach((name, requestClass) -> writeClass(requestClass, classes.putObject(name)));
        ObjectNode workspaces = root.putObject("workspaces");
        catalogue.workspaces().forEach((id, workspace) -> writeWorkspace(workspace, workspaces.putObject(id.value())));
        ObjectNode services = root.putObject("services");
        catalogue.services().forEach((name, service) -> writeService(service, services.putObject(name.value())));
        ArrayNode operators = root.putArray("operators");
        for (OperatorKey operator : catalogue.operators()) {
            operators.addObject().put("name", operator.name()).put("key_hash", operator.keyHash());
        }
    }

    private static void writeSystem(SystemLimits system, ObjectNode node) {
        node.put("shards", system.shards());
        node.put("claim_retention_ms", system.claimRetention().toMillis());
        node.put("quarantine_ms", system.quarantine().toMillis());
        node.put("retry_budget", system.retryBudget());
        node.put("retry_earn", system.retryEarn());
        node.put("freshness_limit_ms", system.freshnessLimit().toMillis());
        node.put("resume_grace_ms", system.resumeGrace().toMillis());
    }

    private static void writeClass(RequestClass requestClass, ObjectNode node) {
        node.put("priority", requestClass.priority());
        node.put("weight", requestClass.weight());
        node.put("first_token_deadline_ms", requestClass.firstTokenDeadline().toMillis());
        node.put("answer_deadline_ms", requestClass.answerDeadline().toMillis());
        node.put("progress_timeout_ms", requestClass.progressTimeout().toMillis());
        node.put("first_token_weight", requestClass.firstTokenWeight());
        node.put("recompute_weight", requestClass.recomputeWeight());
    }

    private static void writeWorkspace(Workspace workspace, ObjectNode node) {
        node.put("owner", workspace.owner());
        node.put("class", workspace.className());
        writeLimits(workspace.limits(), node.putObject("limits"));
        node.put("weight", workspace.weight());
        ArrayNode hashes = node.putArray("key_hashes");
        workspace.keyHashes().forEach(hashes::add);
        node.put("cache_secret", workspace.cacheSecret());
    }

    private static void writeService(Service service, ObjectNode node) {
        node.put("owner", service.owner());
        if (!service.className().isEmpty()) {
            node.put("class", service.className());
        }
        writeLimits(service.limits(), node.putObject("limits"));
        node.put("pool", service.pool());
        node.put("checks_fencing", service.checksFencing());
        service.model().ifPresent(model -> writeModel(model, node.putObject("model")));
        ArrayNode operations = node.putArray("non_idempotent_operations");
        for (Service.Operation operation : service.nonIdempotentOperations()) {
            operations.addObject().put("method", operation.method()).put("path_prefix", operation.pathPrefix());
        }
    }

    private static void writeModel(Service.ModelSettings model, ObjectNode node) {
        node.put("version", model.version().value());
        node.put("adapter", model.adapter());
        node.put("swaps_at_once", model.swapsAtOnce());
        node.put("replica_floor", model.replicaFloor());
        node.put("block_tokens", model.blockTokens());
        node.put("bytes_per_token", model.bytesPerToken());
    }

    private static void writeLimits(Limits limits, ObjectNode node) {
        node.put("concurrent_requests", limits.concurrentRequests());
        node.put("requests_per_second", limits.requestsPerSecond());
        node.put("tokens_per_second", limits.tokensPerSecond());
    }
}

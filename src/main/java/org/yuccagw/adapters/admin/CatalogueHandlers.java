package org.yuccagw.adapters.admin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Supplier;
import org.yuccagw.adapters.http.BoundedJson;
import org.yuccagw.adapters.settings.CatalogueJson;
import org.yuccagw.core.catalogue.AcceptedEdit;
import org.yuccagw.core.catalogue.Catalogue;
import org.yuccagw.core.catalogue.CatalogueEditRequested;
import org.yuccagw.core.catalogue.CatalogueHistoryRequested;
import org.yuccagw.core.catalogue.CatalogueRevisionRequested;
import org.yuccagw.core.control.ControlInput;
import org.yuccagw.core.control.ControlSnapshot;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;

/**
 * Handlers of the calls that read and edit the catalogue.
 *
 * <p>The document that an operator sends contains the revision on which the edit is based, as returned by {@code GET}.
 * Reading, changing and writing the document is therefore safe without a lock: if another edit was accepted in between,
 * the edit is rejected as a conflict and nothing changes.
 */
final class CatalogueHandlers {
    private static final ObjectMapper MAPPER = BoundedJson.mapper();
    private static final String JSON = "application/json";

    private final Supplier<ControlSnapshot> snapshots;
    private final ControlInput input;
    private final CatalogueJson json = CatalogueJson.create();

    private CatalogueHandlers(Supplier<ControlSnapshot> snapshots, ControlInput input) {
        this.snapshots = snapshots;
        this.input = input;
    }

    static CatalogueHandlers of(Supplier<ControlSnapshot> snapshots, ControlInput input) {
        return new CatalogueHandlers(snapshots, input);
    }

    /** Answers with the current catalogue, or with that of {@code ?revision=N}. */
    void get(AdminCall call) throws YuccagwException {
        Optional<String> revision = call.parameter("revision");
        if (revision.isEmpty()) {
            replyCatalogue(call, SnapshotViews.catalogue(snapshots.get()));
            return;
        }
        input.offer(new CatalogueRevisionRequested(call.parseNumber("revision", revision.get()), result -> {
            if (result instanceof CatalogueRevisionRequested.Result.Found found) {
                replyCatalogue(call, found.catalogue());
            } else if (result instanceof CatalogueRevisionRequested.Result.Refused refused) {
                call.replyError(refused.error());
            }
        }));
    }

    /** Requests an edit to the catalogue in the body. Its id {@code ?edit=ID} makes the call idempotent. */
    void put(AdminCall call) throws YuccagwException {
        String editId = call.parameter("edit")
                .filter(id -> !id.isBlank())
                .orElseThrow(() -> ErrorKind.WRONG_FIELD.raise("edit", "add ?edit=ID with an id of your own"));
        Catalogue wanted = json.decode(call.body());
        input.offer(new CatalogueEditRequested(wanted.revision(), wanted, editId, call.operator(), result -> {
            if (result instanceof CatalogueEditRequested.Result.Accepted accepted) {
                call.reply(MAPPER.createObjectNode().put("revision", accepted.revision()));
            } else if (result instanceof CatalogueEditRequested.Result.Refused refused) {
                call.replyError(refused.error());
            }
        }));
    }

    /** Answers with the accepted edits. */
    void history(AdminCall call) {
        input.offer(new CatalogueHistoryRequested(result -> {
            if (result instanceof CatalogueHistoryRequested.Result.History history) {
                call.reply(write(history));
            } else if (result instanceof CatalogueHistoryRequested.Result.Refused refused) {
                call.replyError(refused.error());
            }
        }));
    }

    private void replyCatalogue(AdminCall call, Catalogue catalogue) {
        call.reply(JSON, json.encodeReadable(catalogue).getBytes(StandardCharsets.UTF_8));
    }

    private static ObjectNode write(CatalogueHistoryRequested.Result.History history) {
        ObjectNode root = MAPPER.createObjectNode();
        ArrayNode edits = root.putArray("edits");
        for (AcceptedEdit edit : history.edits()) {
            edits.addObject()
                    .put("revision", edit.revision())
                    .put("edit", edit.editId())
                    .put("operator", edit.operator())
                    .put("time_ms", edit.wallMillis());
        }
        return root;
    }
}

package org.yuccagw.core.catalogue;

import java.util.function.Consumer;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.error.YuccagwException;

/**
 * A request of an operator to replace the catalogue. The reply is called exactly once.
 *
 * @param baseRevision the revision that the operator edited; the edit is accepted only if it is still the current one
 * @param wanted the complete new catalogue; its revision is ignored
 * @param editId the unique id of this edit; a request that is repeated with the same id takes effect only once
 * @param operator the name of the operator, for the history
 * @param reply receives the result
 */
public record CatalogueEditRequested(
        long baseRevision, Catalogue wanted, String editId, String operator, Consumer<Result> reply)
        implements ControlEvent {

    /** The result of an edit. */
    public interface Result {
        /** The edit is accepted permanently, as this revision. */
        record Accepted(long revision) implements Result {}

        /**
         * The edit is not accepted, or its outcome is open if the error is of kind EDIT_UNCONFIRMED. The message of a
         * CATALOGUE_CONFLICT names the fields that both this edit and the accepted ones change.
         */
        record Refused(YuccagwException error) implements Result {}
    }
}

package org.yuccagw.core.catalogue;

import java.util.function.Consumer;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.error.YuccagwException;

/**
 * An operator wants another catalogue. The reply comes exactly once.
 *
 * @param baseRevision the revision that the operator began from; the edit is accepted only on top of it
 * @param wanted the whole catalogue as it shall be; its revision doesn't matter
 * @param editId names this edit for good: asked again under the same id, it is not made twice
 * @param operator who asks, for the history
 */
public record CatalogueEditRequested(
        long baseRevision, Catalogue wanted, String editId, String operator, Consumer<Result> reply)
        implements ControlEvent {

    /** What became of an edit. */
    public interface Result {
        /** It is accepted for good, under this revision. */
        record Accepted(long revision) implements Result {}

        /**
         * It is not accepted; kind EDIT_UNCONFIRMED alone leaves that open. A CATALOGUE_CONFLICT names the fields that
         * this edit and the accepted ones both change.
         */
        record Refused(YuccagwException error) implements Result {}
    }
}

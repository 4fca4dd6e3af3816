package org.yuccagw.core.catalogue;

import com.google.common.collect.ImmutableList;
import java.util.function.Consumer;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.error.YuccagwException;

/** An operator wants the list of the latest accepted edits. The reply comes exactly once. */
public record CatalogueHistoryRequested(Consumer<Result> reply) implements ControlEvent {
    /** The list, or why it can't be read. */
    public interface Result {
        /** Latest edits, the newest last. */
        record History(ImmutableList<AcceptedEdit> edits) implements Result {}

        record Refused(YuccagwException error) implements Result {}
    }
}

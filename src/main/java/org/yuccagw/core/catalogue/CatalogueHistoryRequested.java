package org.yuccagw.core.catalogue;

import com.google.common.collect.ImmutableList;
import java.util.function.Consumer;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.error.YuccagwException;

/** A request of an operator for the list of the latest accepted edits. The reply is called exactly once. */
public record CatalogueHistoryRequested(Consumer<Result> reply) implements ControlEvent {
    /** The list, or the reason why it can't be read. */
    public interface Result {
        /** The latest edits in ascending order of revision. */
        record History(ImmutableList<AcceptedEdit> edits) implements Result {}

        record Refused(YuccagwException error) implements Result {}
    }
}

package org.yuccagw.core.catalogue;

import java.util.function.Consumer;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.error.YuccagwException;

/**
 * A request of an operator for the catalogue of an earlier revision, for a comparison or for a rollback by a new edit.
 */
public record CatalogueRevisionRequested(long revision, Consumer<Result> reply) implements ControlEvent {
    /** The catalogue, or the reason why it isn't available. */
    public interface Result {
        record Found(Catalogue catalogue) implements Result {}

        record Refused(YuccagwException error) implements Result {}
    }
}

package org.yuccagw.core.catalogue;

import java.util.function.Consumer;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.error.YuccagwException;

/** An operator wants the catalogue of an earlier revision, to compare or to roll back to it by a new edit. */
public record CatalogueRevisionRequested(long revision, Consumer<Result> reply) implements ControlEvent {
    /** The catalogue, or why it can't be had. */
    public interface Result {
        record Found(Catalogue catalogue) implements Result {}

        record Refused(YuccagwException error) implements Result {}
    }
}

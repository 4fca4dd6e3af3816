package org.yuccagw.core.swap;

import java.util.function.Consumer;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.EndpointId;

/**
 * An operator requests another role for an endpoint. Only the owner of the pool's shard may send the order; another
 * entry refuses with STALE_OWNER and the owner's name. The reply is called exactly once.
 */
public record RoleOrderRequested(EndpointId endpoint, String role, Consumer<Result> reply) implements ControlEvent {
    /** The result of the request. */
    public interface Result {
        record Accepted() implements Result {}

        record Refused(YuccagwException error) implements Result {}
    }
}

package org.yuccagw.core.swap;

import java.util.function.Consumer;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.EndpointId;

/**
 * An operator wants an endpoint in another role. Only the owner of the pool's shard may order; another entry refuses
 * with STALE_OWNER and the owner's name. The reply comes exactly once.
 */
public record RoleOrderRequested(EndpointId endpoint, String role, Consumer<Result> reply) implements ControlEvent {
    /** What became of it. */
    public interface Result {
        record Accepted() implements Result {}

        record Refused(YuccagwException error) implements Result {}
    }
}

package org.yuccagw.core.admission;

import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.id.ServiceName;

/**
 * The maximum number of concurrent requests of a service on this entry changed. It is derived from the number of
 * endpoints and entries. A service is unbounded until the first such event.
 */
public record CapacityChanged(ServiceName service, int maxConcurrentRequests) implements ControlEvent {
    public CapacityChanged {
        if (maxConcurrentRequests < 0) {
            throw new IllegalArgumentException("capacity must not be negative: " + maxConcurrentRequests);
        }
    }
}

package org.yuccagw.core.placing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.SoftwareVersion;

/** The software versions of endpoints that have failed lately and may come back with them. */
final class LostSoftware {
    /** Callers of streams don't wait for longer. */
    private static final Duration RETURN_TIME = Duration.ofSeconds(4);

    private final Map<LostVersion, Long> lostNanos = new HashMap<>();

    private record LostVersion(ServiceName service, SoftwareVersion software) {}

    /** Records that the registration of an endpoint that hadn't said it leaves has ended. */
    void record(ListedEndpoint endpoint, long nowNanos) {
        lostNanos.values().removeIf(since -> isOver(since, nowNanos));
        lostNanos.put(new LostVersion(endpoint.service(), endpoint.software()), nowNanos);
    }

    boolean mayReturn(ServiceName service, SoftwareVersion software, long nowNanos) {
        Long since = lostNanos.get(new LostVersion(service, software));
        return since != null && !isOver(since, nowNanos);
    }

    private static boolean isOver(long sinceNanos, long nowNanos) {
        return nowNanos - sinceNanos > RETURN_TIME.toNanos();
    }
}

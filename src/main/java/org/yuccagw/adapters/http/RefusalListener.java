package org.yuccagw.adapters.http;

import org.yuccagw.core.id.NetworkAddress;

/** Is notified of each response that a client refused. Called on I/O threads. */
@FunctionalInterface
public interface RefusalListener {
    /** Ignores all refusals. */
    RefusalListener NONE = (server, defect) -> {};

    void onRefused(NetworkAddress server, ResponseDefect defect);
}

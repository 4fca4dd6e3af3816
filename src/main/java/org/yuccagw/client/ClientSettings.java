package org.yuccagw.client;

import java.time.Duration;
import java.util.List;
import org.yuccagw.core.id.NetworkAddress;

/**
 * Settings of a {@link YuccagwClient}.
 *
 * @param seedEntries entries from which the directory is requested first; one that answers is sufficient
 * @param workspaceKey bearer key of the workspace
 * @param domain failure domain of the caller, whose entries are preferred; empty if unknown
 * @param readTimeout longest time without a received byte before a connection to an entry is closed
 * @param totalTimeout longest time for a complete answer, including all attempts
 */
public record ClientSettings(
        List<NetworkAddress> seedEntries,
        String workspaceKey,
        String domain,
        Duration readTimeout,
        Duration totalTimeout) {
    private static final Duration DEFAULT_READ_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration DEFAULT_TOTAL_TIMEOUT = Duration.ofMinutes(5);

    public ClientSettings {
        seedEntries = List.copyOf(seedEntries);
        if (seedEntries.isEmpty()) {
            throw new IllegalArgumentException("at least one seed entry is required");
        }
    }

    /** Returns settings with default timeouts for a caller whose failure domain is unknown. */
    public static ClientSettings of(List<NetworkAddress> seedEntries, String workspaceKey) {
        return new ClientSettings(seedEntries, workspaceKey, "", DEFAULT_READ_TIMEOUT, DEFAULT_TOTAL_TIMEOUT);
    }

    public ClientSettings withTimeouts(Duration newReadTimeout, Duration newTotalTimeout) {
        return new ClientSettings(seedEntries, workspaceKey, domain, newReadTimeout, newTotalTimeout);
    }
}

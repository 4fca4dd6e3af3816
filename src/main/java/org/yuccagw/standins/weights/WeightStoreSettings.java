package org.yuccagw.standins.weights;

import java.util.Set;

/**
 * Settings of the stand-in for the weight store.
 *
 * @param port the port to listen on; 0 selects a free one
 * @param versionBytes size in bytes of the weights of each version
 * @param bytesPerSecond the rate that all readers share
 * @param versions the versions that exist; if empty, every version exists
 */
public record WeightStoreSettings(int port, long versionBytes, double bytesPerSecond, Set<String> versions) {
    private static final long MEGABYTE = 1 << 20;
    private static final WeightStoreSettings DEFAULTS = new WeightStoreSettings(0, MEGABYTE, 8.0 * MEGABYTE, Set.of());

    public WeightStoreSettings {
        versions = Set.copyOf(versions);
    }

    /**
     * Returns the defaults: versions of 1 MB at 8 MB/s. A swap takes 1/8 s alone, and eight concurrent swaps take 1 s.
     */
    public static WeightStoreSettings defaults() {
        return DEFAULTS;
    }

    public WeightStoreSettings withPort(int newPort) {
        return new WeightStoreSettings(newPort, versionBytes, bytesPerSecond, versions);
    }

    public WeightStoreSettings withSize(long newVersionBytes, double newBytesPerSecond) {
        return new WeightStoreSettings(port, newVersionBytes, newBytesPerSecond, versions);
    }

    public WeightStoreSettings withVersions(Set<String> newVersions) {
        return new WeightStoreSettings(port, versionBytes, bytesPerSecond, newVersions);
    }
}

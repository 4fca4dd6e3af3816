package org.yuccagw.standins.store;

import java.time.Duration;

/**
 * Settings of the stand-in for a cache store.
 *
 * @param name the name of the store
 * @param port the port to listen on; 0 selects a free one
 * @param memoryBytes capacity of the memory tier in bytes
 * @param diskBytes capacity of the disk tier in bytes
 * @param linkBytesPerSecond rate of the link, shared by both directions
 * @param diskDelay the latency of a read from the disk tier, in addition to the transfer over the link
 */
public record CacheStoreSettings(
        String name, int port, long memoryBytes, long diskBytes, double linkBytesPerSecond, Duration diskDelay) {
    private static final long MEGABYTE = 1 << 20;

    /** Returns the defaults: 64 MB of memory, 256 MB of disk, a link of 100 MB/s and a disk latency of 3 ms. */
    public static CacheStoreSettings defaults(String name) {
        return new CacheStoreSettings(name, 0, 64 * MEGABYTE, 256 * MEGABYTE, 100.0 * MEGABYTE, Duration.ofMillis(3));
    }

    public CacheStoreSettings withPort(int newPort) {
        return new CacheStoreSettings(name, newPort, memoryBytes, diskBytes, linkBytesPerSecond, diskDelay);
    }

    public CacheStoreSettings withCapacity(long newMemoryBytes, long newDiskBytes) {
        return new CacheStoreSettings(name, port, newMemoryBytes, newDiskBytes, linkBytesPerSecond, diskDelay);
    }

    public CacheStoreSettings withLink(double bytesPerSecond) {
        return new CacheStoreSettings(name, port, memoryBytes, diskBytes, bytesPerSecond, diskDelay);
    }
}

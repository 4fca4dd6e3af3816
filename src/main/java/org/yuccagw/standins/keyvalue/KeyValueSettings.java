package org.yuccagw.standins.keyvalue;

/**
 * Settings of the stand-in for the key-value service.
 *
 * @param port the port to listen on; 0 selects a free one
 * @param writesPerSecond the writes and lease calls allowed per second, the rest being answered with 429; 0 for no
 *     limit
 * @param readsPerSecond the reads and watches allowed per second, the rest being answered with 429; 0 for no limit
 */
public record KeyValueSettings(int port, double writesPerSecond, double readsPerSecond) {
    private static final KeyValueSettings DEFAULTS = new KeyValueSettings(0, 0, 0);

    /** Returns the defaults: a free port and no rate limits. */
    public static KeyValueSettings defaults() {
        return DEFAULTS;
    }

    public KeyValueSettings withPort(int newPort) {
        return new KeyValueSettings(newPort, writesPerSecond, readsPerSecond);
    }

    public KeyValueSettings withRates(double newWritesPerSecond, double newReadsPerSecond) {
        return new KeyValueSettings(port, newWritesPerSecond, newReadsPerSecond);
    }
}

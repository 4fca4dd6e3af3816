package org.yuccagw.bench.routing;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.yuccagw.standins.engine.EngineCosts;

/**
 * One deployment of the size of today, and how its users behave.
 *
 * @param domains failure domains, over which replicas and stores are dealt
 * @param services its model services
 * @param firstTokenWeight weight of a second of time to first token in the objective of its class
 * @param recomputeWeight weight of a thousand recomputed tokens
 * @param callsPerSession mean calls before a prompt's owner goes away
 * @param shortGap median time between calls of one session
 * @param longGap median time away
 * @param longGapSpread standard deviation of the logarithm of the time away; above 1 makes a heavy tail
 */
record Deployment(
        String name,
        List<String> domains,
        List<ServiceShape> services,
        double firstTokenWeight,
        double recomputeWeight,
        double callsPerSession,
        Duration shortGap,
        Duration longGap,
        double longGapSpread) {
    static final int WORKSPACES = 10;
    static final int STORES = 2;
    static final int BLOCK_TOKENS = 128;
    static final int BYTES_PER_TOKEN = 40_000;
    static final double LINK_BYTES_PER_SECOND = 400e6;
    static final long MEMORY_BYTES = 12_000_000_000L;
    static final long DISK_BYTES = 150_000_000_000L;
    static final Duration DISK_DELAY = Duration.ofMillis(15);
    static final int READS_AT_ONCE = 4;

    /** A large model: 2,500 prompt tokens a second, 30 ms an iteration, 131,072 tokens of cache. */
    static final EngineCosts ENGINE = EngineCosts.defaults()
            .withPrefill(2_500, 512)
            .withIteration(Duration.ofMillis(30), Duration.ofMillis(1))
            .withBlockTokens(BLOCK_TOKENS)
            .withBatch(32, 100_000)
            .withCacheBlocks(1_024);

    /**
     * A model service.
     *
     * @param share of the prompts
     */
    record ServiceShape(String name, int replicas, double share) {}

    static final Deployment TALLINN = new Deployment(
            "tallinn",
            List.of("ulemiste", "mustamae", "kadaka"),
            List.of(new ServiceShape("assistant", 13, 0.8), new ServiceShape("notebook", 3, 0.2)),
            1,
            2,
            5,
            Duration.ofSeconds(25),
            Duration.ofMinutes(40),
            1.6);

    static final Deployment TUNIS = new Deployment(
            "tunis",
            List.of("charguia", "lac", "ariana"),
            List.of(new ServiceShape("report", 8, 0.75), new ServiceShape("portal", 3, 0.25)),
            1,
            0.6,
            3,
            Duration.ofSeconds(60),
            Duration.ofHours(9),
            1.3);

    static Optional<Deployment> named(String name) {
        return List.of(TALLINN, TUNIS).stream()
                .filter(deployment -> deployment.name().equals(name))
                .findFirst();
    }

    int replicas() {
        return services.stream().mapToInt(ServiceShape::replicas).sum();
    }
}

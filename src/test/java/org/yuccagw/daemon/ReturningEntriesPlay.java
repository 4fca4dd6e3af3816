package org.yuccagw.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.bench.control.InMemoryKeyValue;
import org.yuccagw.core.id.FailureDomain;

/**
 * A fleet in virtual time under a random series of restorations of the key-value service and of troubles of entries,
 * with checks of every entry in touch at each step.
 *
 * <p>An entry is in touch if neither it nor the service has had trouble for {@link #CONTACT}. Operators and endpoints
 * write again {@link #REWRITE_DELAY} after a restoration what it has lost.
 */
final class ReturningEntriesPlay {
    private static final int DOMAINS = 4;
    private static final int PLAIN_ENDPOINTS = 12;
    private static final Duration SETTLING = Duration.ofSeconds(7);
    private static final Duration STEP = Duration.ofMillis(20);
    private static final Duration CONTACT = Duration.ofSeconds(3);
    private static final Duration CONFIGURATION_LIMIT = Duration.ofSeconds(2);
    private static final Duration DRAIN_LIMIT = Duration.ofSeconds(2);
    private static final Duration REWRITE_DELAY = Duration.ofSeconds(5);
    /** What was acknowledged so shortly before a restoration may not have reached any entry. */
    private static final Duration UNSEEN = Duration.ofMillis(500);

    private static final int MAX_GAP_MILLIS = 900;

    private final VirtualFleet fleet = new VirtualFleet();
    private final SplittableRandom random;
    private final int size;
    private final BenchNode[] nodes;
    private final long[] troubledUntil;
    private final Map<String, Long> leftNanos = new HashMap<>();
    private final Map<BenchNode, Long> seenVersion = new HashMap<>();
    private final List<Configured> configured = new ArrayList<>();
    private final List<String> steps = new ArrayList<>();
    private final Map<String, Violation> violations = new LinkedHashMap<>();
    private long serviceTroubledUntil;
    private boolean restored;
    private long version;
    private int nextEndpoint = PLAIN_ENDPOINTS;

    private record Configured(long version, long nanos) {}

    /** What an entry did against a rule, from the first to the last time at which it was seen. */
    private record Violation(String what, long firstMillis, long lastMillis) {
        @Override
        public String toString() {
            return what + " from " + firstMillis + " to " + lastMillis + " ms";
        }
    }

    private ReturningEntriesPlay(int size, long seed) {
        this.size = size;
        this.random = new SplittableRandom(seed);
        this.nodes = new BenchNode[size];
        this.troubledUntil = new long[size];
    }

    static ReturningEntriesPlay of(int size, long seed) {
        return new ReturningEntriesPlay(size, seed);
    }

    List<String> violations() {
        return violations.values().stream().map(Violation::toString).toList();
    }

    List<String> steps() {
        return steps;
    }

    void run(Duration duration) {
        for (int index = 0; index < size; index++) {
            start(index);
        }
        configure();
        for (int index = 0; index < PLAIN_ENDPOINTS; index++) {
            fleet.addPlain("plain-" + index);
        }
        fleet.bench.runFor(SETTLING);
        long end = now() + duration.toNanos();
        while (now() < end) {
            takeStep();
            advance(Duration.ofMillis(random.nextInt(50, MAX_GAP_MILLIS)));
        }
        restoreFully();
        advance(CONTACT.multipliedBy(3));
    }

    private void takeStep() {
        switch (random.nextInt(9)) {
            case 0, 1 -> configure();
            case 2, 3 -> removeEndpoint();
            case 4 -> restore();
            case 5 -> killAndStart(random.nextInt(size));
            case 6 -> cutOffFromService(random.nextInt(size));
            case 7 -> pause(random.nextInt(size));
            case 8 -> cutFromOthers(random.nextInt(size));
            default -> throw new AssertionError();
        }
    }

    // ---- Steps

    private void start(int index) {
        nodes[index] = fleet.start("entry-" + index, FailureDomain.of("domain-" + index % DOMAINS));
        troubledUntil[index] = now();
    }

    private void configure() {
        version++;
        fleet.configure(version);
        configured.add(new Configured(version, now()));
        log("configuration " + version);
    }

    private void removeEndpoint() {
        String leaving = "plain-" + (nextEndpoint - PLAIN_ENDPOINTS);
        fleet.addPlain("plain-" + nextEndpoint);
        nextEndpoint++;
        fleet.expireRegistration(leaving);
        leftNanos.put(leaving, now());
        log(leaving + " leaves");
    }

    /** Restores the service from a copy that is up to 3.3 s old, and lets what it lost be written again later. */
    private void restore() {
        if (restored) {
            return;
        }
        restored = true;
        InMemoryKeyValue.Copy copy = fleet.bench.keyValue().copy();
        long copyVersion = version;
        int copyEndpoint = nextEndpoint;
        log("copy");
        for (int change = random.nextInt(1, 5); change > 0; change--) {
            if (random.nextBoolean()) {
                configure();
            } else {
                removeEndpoint();
            }
            advance(Duration.ofMillis(random.nextInt(50, 600)));
            if (random.nextInt(3) == 0) {
                troubleOne();
            }
        }
        advance(UNSEEN);
        fleet.bench.keyValue().setDown(true);
        log("down");
        Duration away = Duration.ofMillis(random.nextInt(100, 1_500));
        serviceTroubledUntil = now() + away.toNanos();
        if (random.nextBoolean()) {
            troubleOne();
        }
        advance(away);
        fleet.bench.keyValue().restore(copy);
        fleet.bench.keyValue().setDown(false);
        serviceTroubledUntil = now();
        log("restored");
        fleet.bench.time().after(REWRITE_DELAY, () -> rewrite(copyVersion, copyEndpoint));
    }

    private void rewrite(long copyVersion, int copyEndpoint) {
        if (copyVersion < version) {
            fleet.configure(version);
        }
        for (int index = copyEndpoint - PLAIN_ENDPOINTS; index < nextEndpoint - PLAIN_ENDPOINTS; index++) {
            fleet.expireRegistration("plain-" + index);
        }
        for (int index = nextEndpoint - PLAIN_ENDPOINTS; index < nextEndpoint; index++) {
            fleet.addPlain("plain-" + index);
        }
        restored = false;
        log("written again");
    }

    private void troubleOne() {
        int index = random.nextInt(size);
        switch (random.nextInt(4)) {
            case 0 -> killAndStart(index);
            case 1 -> cutOffFromService(index);
            case 2 -> pause(index);
            default -> cutFromOthers(index);
        }
    }

    private void killAndStart(int index) {
        if (nodes[index].isDead()) {
            return;
        }
        Duration away = Duration.ofMillis(random.nextInt(50, 2_500));
        nodes[index].kill();
        troubledUntil[index] = Math.max(troubledUntil[index], now() + away.toNanos());
        log("entry-" + index + " is killed for " + away.toMillis() + " ms");
        fleet.bench.time().after(away, () -> start(index));
    }

    private void cutOffFromService(int index) {
        Duration cut = trouble(index, "is cut off from the service");
        fleet.bench.keyValue().cutOff(nodes[index].entry());
        fleet.bench.time().after(cut, () -> fleet.bench.keyValue().reach(nodes[index].entry()));
    }

    private void pause(int index) {
        nodes[index].pause(trouble(index, "is paused"));
    }

    private void cutFromOthers(int index) {
        Duration cut = trouble(index, "is cut from the others");
        fleet.bench.cutFromAll(nodes[index]);
        fleet.bench.time().after(cut, fleet.bench::healNetwork);
    }

    private Duration trouble(int index, String what) {
        Duration lasting = Duration.ofMillis(random.nextInt(200, 4_000));
        troubledUntil[index] = Math.max(troubledUntil[index], now() + lasting.toNanos());
        log("entry-" + index + " " + what + " for " + lasting.toMillis() + " ms");
        return lasting;
    }

    private void restoreFully() {
        fleet.bench.healNetwork();
        for (BenchNode node : nodes) {
            fleet.bench.keyValue().reach(node.entry());
        }
    }

    // ---- Checks

    private void advance(Duration duration) {
        long end = now() + duration.toNanos();
        while (now() < end) {
            fleet.bench.runFor(STEP);
            for (int index = 0; index < size; index++) {
                check(index);
            }
        }
    }

    private void check(int index) {
        BenchNode node = nodes[index];
        long present = VirtualFleet.configurationOf(node);
        if (node.isDead() || present == 0) {
            return;
        }
        long before = seenVersion.getOrDefault(node, 0L);
        if (present < before) {
            violation(index, "goes back from configuration " + before + " to " + present);
        }
        seenVersion.put(node, Math.max(before, present));
        long inTouchSince = Math.max(troubledUntil[index], serviceTroubledUntil);
        if (fleet.bench.keyValue().isDown() || now() - inTouchSince < CONTACT.toNanos()) {
            return;
        }
        long required = configured.stream()
                .filter(each -> now() - each.nanos() > CONFIGURATION_LIMIT.toNanos())
                .mapToLong(Configured::version)
                .max()
                .orElse(0);
        if (present < required) {
            violation(index, "has configuration " + present + " in place of " + required);
        }
        leftNanos.forEach((endpoint, nanos) -> {
            if (now() - nanos > DRAIN_LIMIT.toNanos() && fleet.isUsable(node, endpoint)) {
                violation(index, "uses " + endpoint + ", which left");
            }
        });
    }

    private void violation(int index, String what) {
        String text = "entry-" + index + " " + what;
        violations.merge(
                text,
                new Violation(text, milliseconds(), milliseconds()),
                (first, last) -> new Violation(text, first.firstMillis(), last.lastMillis()));
    }

    private void log(String step) {
        steps.add(milliseconds() + " ms: " + step);
    }

    private long milliseconds() {
        return now() / 1_000_000;
    }

    private long now() {
        return fleet.bench.time().nowNanos();
    }
}

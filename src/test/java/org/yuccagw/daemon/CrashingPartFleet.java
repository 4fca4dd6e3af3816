package org.yuccagw.daemon;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.prompt.PromptPart;
import org.yuccagw.daemon.VirtualCaller.Outcome;

/**
 * A fleet in virtual time whose engines fail when they begin to answer a prompt with a certain part. An engine that has
 * failed returns after some seconds under another id.
 */
final class CrashingPartFleet {
    /** The time without disturbance after which the users hold an entry to its bounds. */
    static final Duration CONTACT_TIME = Duration.ofSeconds(3);

    /** The crash from which on the users count how often a crashing part reaches engines. */
    static final int COUNTED_CRASH = 5;

    static final PromptPart CRASHING = new PromptPart("crashing", 120);

    private static final int ENGINES = 13;
    private static final Duration RETURN_TIME = Duration.ofSeconds(4);
    private static final Duration REGISTRATION_EXPIRY = Duration.ofMillis(3_600);
    private static final PromptPart FIRST = new PromptPart("first", 200);

    final VirtualCallers callers;
    final List<VirtualCaller> crashing = new ArrayList<>();
    final List<VirtualCaller> sound = new ArrayList<>();
    private final List<Long> crashNanos = new ArrayList<>();
    private final SplittableRandom random;
    private String crashingPath = VirtualCallers.RESUMABLE;
    private PausingEndpoint.Failure crash = PausingEndpoint.Failure.CRASH;
    private PromptPart crashingFirst = FIRST;
    private boolean unframed;
    private int nextEngine = ENGINES;

    private CrashingPartFleet(int entries, long seed) {
        callers = VirtualCallers.start(entries, ENGINES, seed);
        random = new SplittableRandom(seed);
        callers.engines.forEach(this::returnAfterCrash);
    }

    static CrashingPartFleet start(int entries, long seed) {
        return new CrashingPartFleet(entries, seed);
    }

    /** Lets answers have neither a length nor chunks, and engines fail after the first event of one. */
    void sendUnframedAnswers() {
        unframed = true;
        crash = PausingEndpoint.Failure.CRASH_AFTER_EVENT;
        callers.engines.forEach(PausingEndpoint::sendUnframedAnswers);
    }

    private void returnAfterCrash(PausingEndpoint engine) {
        if (unframed) {
            engine.sendUnframedAnswers();
        }
        engine.onKill(() -> {
            crashNanos.add(now());
            callers.load
                    .fleet
                    .bench
                    .time()
                    .after(REGISTRATION_EXPIRY, () -> callers.load.fleet.expireRegistration(engine.id()));
            callers.load.fleet.bench.time().after(RETURN_TIME, () -> {
                FailureDomain domain = VirtualLoad.domainOf(nextEngine);
                returnAfterCrash(callers.addEngine("engine-" + nextEngine++, domain));
            });
        });
    }

    long now() {
        return callers.load.now();
    }

    /** Sets the route of the requests that make engines fail. */
    void setCrashingPath(String path) {
        crashingPath = path;
    }

    /** Sends sound requests for the given time, one in each interval; they share parts with those that crash. */
    void sendSound(Duration time, Duration interval) {
        sendSound(time, interval, FIRST);
    }

    void sendSound(Duration time, Duration interval, PromptPart first) {
        repeat(time, interval, () -> sound.add(begin(VirtualCallers.RESUMABLE, ImmutableList.of(first, notebook()))));
    }

    /** Lets the requests that make engines fail begin with this part, which no sound one has. */
    void setCrashingFirst(PromptPart first) {
        crashingFirst = first;
    }

    /** Sends requests with the crashing part for the given time, one in each interval, no two of them equal. */
    void sendCrashing(Duration time, Duration interval) {
        repeat(time, interval, () -> {
            VirtualCaller caller = callers.caller(crashingPath, ImmutableList.of(crashingFirst, notebook(), CRASHING));
            caller.failAll(crash);
            crashing.add(caller);
            caller.begin();
        });
    }

    private VirtualCaller begin(String path, ImmutableList<PromptPart> parts) {
        VirtualCaller caller = callers.caller(path, parts);
        caller.begin();
        return caller;
    }

    private PromptPart notebook() {
        return new PromptPart("notebook-" + random.nextInt(20), 300);
    }

    /** Runs the action in each interval for the given time, in the background. */
    void repeat(Duration time, Duration interval, Runnable action) {
        for (long index = 0; index < time.dividedBy(interval); index++) {
            callers.load.fleet.bench.time().after(interval.multipliedBy(index), action);
        }
    }

    void runFor(Duration duration) {
        callers.runFor(duration);
    }

    List<PausingEndpoint> runningEngines() {
        return callers.engines.stream().filter(engine -> !engine.isDead()).toList();
    }

    PausingEndpoint randomEngine() {
        List<PausingEndpoint> running = runningEngines();
        return running.get(random.nextInt(running.size()));
    }

    List<BenchNode> nodes() {
        return callers.load.nodes;
    }

    /** Restarts the entry with the given index under its name; the new process knows nothing of before. */
    void restart(int index) {
        BenchNode old = nodes().get(index);
        old.kill();
        nodes().set(
                        index,
                        callers.load.fleet.start(
                                old.entry().value(), old.identity().domain()));
    }

    // ---- Results

    int crashes() {
        return crashNanos.size();
    }

    /** Returns the number of crashing requests that reached engines later than the contact time after a crash. */
    long arrivalsAfterCountedCrash() {
        if (crashNanos.size() < COUNTED_CRASH) {
            return 0;
        }
        long sinceNanos = crashNanos.get(COUNTED_CRASH - 1) + CONTACT_TIME.toNanos();
        return crashing.stream()
                .flatMap(caller -> caller.arrivalNanos().stream())
                .filter(nanos -> nanos - sinceNanos > 0)
                .count();
    }

    /** Returns the share of the sound requests that were sent since the given time and answered completely. */
    double soundShare(long sinceNanos) {
        List<VirtualCaller> counted = sound.stream()
                .filter(caller -> caller.begunNanos() - sinceNanos >= 0)
                .toList();
        long served = counted.stream()
                .filter(caller -> caller.outcome() == Outcome.COMPLETE)
                .count();
        return counted.isEmpty() ? 0 : (double) served / counted.size();
    }

    /** Returns the number of sound requests that were refused as if they ended engines. */
    long soundRefusedAsSuspect() {
        return sound.stream().filter(VirtualCaller::isRefusedAsSuspect).count();
    }
}

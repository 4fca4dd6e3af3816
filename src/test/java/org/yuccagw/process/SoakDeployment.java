package org.yuccagw.process;

import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.awaitility.core.ConditionTimeoutException;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.standins.keyvalue.KeyValueSettings;
import org.yuccagw.standins.keyvalue.KeyValueStandIn;
import org.yuccagw.standins.platform.PlatformDocuments;

/** The processes, endpoints and callers of one soak, which runs through its schedule once. */
final class SoakDeployment {
    /** Software versions that serve side by side. */
    private static final int VERSIONS = 2;

    private static final int ENDPOINTS = 6;
    private static final int CALLERS_PER_ENTRY = 8;
    private static final Duration REGISTERED_AFTER_DEATH = Duration.ofSeconds(1);
    private static final int[] TIMEOUTS_MILLIS = {5_000, 6_000, 8_000};

    private final SplittableRandom random;
    private final KeyValueStandIn keyValue = KeyValueStandIn.start(KeyValueSettings.defaults());
    private final HttpClient http = HttpClient.start(1);
    private final Set<SoakEndpoint> registered = ConcurrentHashMap.newKeySet();
    private final SoakConfiguration configuration = new SoakConfiguration(keyValue);
    private final List<SoakEndpoint> endpoints = new ArrayList<>();
    private final List<SoakEntry> entries = new ArrayList<>();
    private final List<Semaphore> idleEntries = new ArrayList<>();
    private final List<SoakCall> calls = new CopyOnWriteArrayList<>();
    private final List<String> failures = new CopyOnWriteArrayList<>();
    private final List<String> trace = new CopyOnWriteArrayList<>();
    private final ExecutorService steps = Executors.newCachedThreadPool();
    private final ExecutorService callers = Executors.newCachedThreadPool();
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final AtomicInteger callNumbers = new AtomicInteger();
    private long beginNanos;

    private final List<ProcessPause> pauses = new CopyOnWriteArrayList<>();
    private final PauseRecorder pauseRecorder = PauseRecorder.start(pauses::add);

    private SoakDeployment(long seed) throws Exception {
        random = new SplittableRandom(seed);
    }

    static SoakDeployment start(long seed, int entryCount) throws Exception {
        SoakDeployment deployment = new SoakDeployment(seed);
        deployment.configuration.publish(SoakConfiguration.Version.FIRST);
        for (int number = 1; number <= ENDPOINTS; number++) {
            SoakRoute route = number % 2 == 0 ? SoakRoute.RESUMABLE : SoakRoute.REPEATABLE;
            SoakEndpoint endpoint = SoakEndpoint.start(
                    route.service() + "-" + number, route.service(), "v" + (1 + number / 2 % VERSIONS));
            deployment.endpoints.add(endpoint);
            deployment.register(endpoint);
        }
        for (int number = 1; number <= entryCount; number++) {
            String name = "soak-" + seed + "-entry-" + number;
            deployment.entries.add(SoakEntry.start(name, deployment.keyValue.address(), deployment.http));
            deployment.idleEntries.add(new Semaphore(1));
        }
        deployment.entries.forEach(SoakEntry::awaitReady);
        return deployment;
    }

    /** Runs through the schedule beside callers, and waits for the ends of all calls and steps. */
    void run(long seconds) throws InterruptedException {
        List<SoakStep> schedule = SoakStep.schedule(random.split(), seconds);
        beginNanos = System.nanoTime();
        for (SoakEntry entry : entries) {
            for (int caller = 0; caller < CALLERS_PER_ENTRY; caller++) {
                callers.execute(
                        new SoakCaller(callNumbers, entry, configuration, random.split(), stopping, calls::add));
            }
        }
        for (SoakStep step : schedule) {
            LockSupport.parkNanos(
                    beginNanos + Duration.ofMillis(step.atMillis()).toNanos() - System.nanoTime());
            trace.add(millisSinceBegin() + " " + step);
            steps.execute(() -> perform(step));
        }
        finish(steps);
        awaitRecovery();
        stopping.set(true);
        finish(callers);
    }

    /** Waits until every entry has served every route after the last step. */
    private void awaitRecovery() {
        long endNanos = System.nanoTime();
        try {
            await().atMost(SoakEntry.RECOVERED_WITHIN)
                    .until(() -> calls.stream()
                                    .filter(call -> call.sentNanos() - endNanos >= 0 && call.status() == 200)
                                    .map(call -> call.entry().name() + call.requestLine())
                                    .filter(served -> !served.contains("/added-"))
                                    .distinct()
                                    .count()
                            == (long) entries.size() * SoakRoute.values().length);
        } catch (ConditionTimeoutException e) {
            failures.add("not every entry serves every route after the last step");
        }
    }

    void stop() throws Exception {
        pauseRecorder.stop();
        stopping.set(true);
        steps.shutdownNow();
        callers.shutdownNow();
        for (SoakEntry entry : entries) {
            entry.stop();
        }
        for (SoakEndpoint endpoint : endpoints) {
            endpoint.stop();
        }
        http.stop();
        keyValue.stop();
    }

    SoakConfiguration configuration() {
        return configuration;
    }

    List<SoakCall> calls() {
        return calls;
    }

    /** Returns how long the system did not run the endpoints, which are in this process, between the given times. */
    long pausedNanos(long fromNanos, long untilNanos) {
        return pauses.stream()
                .mapToLong(pause -> pause.nanosWithin(fromNanos, untilNanos))
                .sum();
    }

    /** Returns a line for each time in which the system did not run the endpoints and callers of the soak. */
    List<String> pauseLines() {
        return pauses.stream()
                .map(pause -> "endpoints and callers did not run from " + millisSinceBegin(pause.fromNanos()) + " to "
                        + millisSinceBegin(pause.untilNanos()) + " ms")
                .toList();
    }

    private long millisSinceBegin(long nanos) {
        return (nanos - beginNanos) / 1_000_000;
    }

    List<SoakRun> runs() {
        return endpoints.stream().flatMap(each -> each.runs().stream()).toList();
    }

    /** Returns the steps that failed, such as an entry that wasn't ready in time. */
    List<String> failures() {
        return failures;
    }

    List<String> trace() {
        return trace;
    }

    long beginNanos() {
        return beginNanos;
    }

    private long millisSinceBegin() {
        return (System.nanoTime() - beginNanos) / 1_000_000;
    }

    private static void finish(ExecutorService executor) throws InterruptedException {
        executor.shutdown();
        if (!executor.awaitTermination(1, TimeUnit.MINUTES)) {
            throw new IllegalStateException("the soak did not end");
        }
    }

    private void perform(SoakStep step) {
        try {
            SoakEndpoint endpoint = endpoints.get(step.target() % endpoints.size());
            switch (step.kind()) {
                case ENDPOINT_IS_SILENT -> endpoint.fallSilent(Duration.ofMillis(step.millis()));
                case ALL_ENDPOINTS_ARE_SILENT ->
                    endpoints.forEach(each -> each.fallSilent(Duration.ofMillis(step.millis())));
                case ENDPOINT_DIES -> dieAndReturn(endpoint, step.millis());
                case CONNECTIONS_ARE_SILENT_FOR_GOOD -> endpoint.loseOpenConnections();
                case SETTINGS_CHANGE -> atEntry(step, entry -> entry.reload(step.target()));
                case ENTRY_IS_TERMINATED -> atEntry(step, SoakEntry::terminateAndRestart);
                case ENTRY_IS_KILLED -> atEntry(step, SoakEntry::killAndRestart);
                case KEY_VALUE_SERVICE_IS_RESTORED -> restoreKeyValueService(step.millis());
                default -> changeConfiguration(step);
            }
        } catch (Exception e) {
            failures.add(millisSinceBegin() + " " + step + ": " + e);
        }
    }

    private synchronized void changeConfiguration(SoakStep step) {
        SoakConfiguration.Version current = configuration.current();
        configuration.publish(
                switch (step.kind()) {
                    case KEY_IS_TAKEN_AWAY -> current.withNextGuest();
                    case ROUTE_IS_ADDED -> current.withAddedRoute();
                    default -> current.withTimeout(TIMEOUTS_MILLIS[step.target() % TIMEOUTS_MILLIS.length]);
                });
    }

    /** Restores the service from a copy of the given age; operators and endpoints then write their keys again. */
    private void restoreKeyValueService(int ageMillis) throws InterruptedException {
        keyValue.takeCopy();
        Thread.sleep(ageMillis);
        synchronized (this) {
            keyValue.restoreCopy();
            configuration.publishAgain();
        }
        for (SoakEndpoint endpoint : endpoints) {
            writeRegistration(endpoint);
        }
    }

    private void dieAndReturn(SoakEndpoint endpoint, int millis) throws Exception {
        synchronized (endpoint) {
            endpoint.die();
            Thread.sleep(REGISTERED_AFTER_DEATH.toMillis());
            registered.remove(endpoint);
            writeRegistration(endpoint);
            Thread.sleep(millis);
            endpoint.startAgain();
            register(endpoint);
        }
    }

    private void register(SoakEndpoint endpoint) {
        registered.add(endpoint);
        writeRegistration(endpoint);
    }

    private void writeRegistration(SoakEndpoint endpoint) {
        String key = PlatformDocuments.endpointKey(endpoint.id());
        synchronized (registered) {
            if (registered.contains(endpoint)) {
                keyValue.put(key, endpoint.registration());
            } else {
                keyValue.remove(key);
            }
        }
    }

    /** A step at an entry. */
    private interface EntryStep {
        void run(SoakEntry entry) throws Exception;
    }

    /** Runs a step at an entry, unless another one is at work there. */
    private void atEntry(SoakStep step, EntryStep action) throws Exception {
        int index = step.target() % entries.size();
        if (idleEntries.get(index).tryAcquire()) {
            try {
                action.run(entries.get(index));
            } finally {
                idleEntries.get(index).release();
            }
        }
    }
}

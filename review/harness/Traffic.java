import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

/** Requests of sound requesters at a fixed rate, to all entries in turn, each on a channel of its own. */
final class Traffic {
    private static final ThreadFactory DAEMONS = task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    };

    /**
     * One request.
     *
     * @param status of its answer; 0 if its channel was closed without one, -1 if none came before the time limit
     */
    record Call(String id, Bed.Entry entry, long sentMillis, long endMillis, int status) {}

    private final List<Call> calls = new CopyOnWriteArrayList<>();
    private final ExecutorService pool = Executors.newCachedThreadPool(DAEMONS);
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(DAEMONS);
    private final AtomicInteger numbers = new AtomicInteger();

    private Traffic() {}

    static Traffic start(Bed bed, int perSecond, String method, String path, int deadlineMs) {
        Traffic traffic = new Traffic();
        traffic.timer.scheduleAtFixedRate(
                () -> traffic.pool.execute(() -> {
                    int number = traffic.numbers.incrementAndGet();
                    Bed.Entry entry = bed.entries.get(number % bed.entries.size());
                    long sent = bed.millis();
                    byte[] body = method.equals("GET") ? null : Bed.bytes("body of " + number);
                    int status = bed.call(entry, method, path + number, "request-" + number, deadlineMs, "", body);
                    traffic.calls.add(new Call("request-" + number, entry, sent, bed.millis(), status));
                }),
                0,
                1000 / perSecond,
                TimeUnit.MILLISECONDS);
        return traffic;
    }

    /** Ends the sending and waits for the answers of all requests. */
    void stop() throws InterruptedException {
        timer.shutdownNow();
        pool.shutdown();
        pool.awaitTermination(20, TimeUnit.SECONDS);
    }

    List<Call> calls() {
        return calls;
    }

    List<Call> sentBetween(long fromMillis, long untilMillis) {
        return calls.stream()
                .filter(call -> call.sentMillis() >= fromMillis && call.sentMillis() < untilMillis)
                .toList();
    }

    static long count(List<Call> calls, Predicate<Call> which) {
        return calls.stream().filter(which).count();
    }

    static long served(List<Call> calls) {
        return count(calls, call -> call.status() == 200);
    }

    static String summary(List<Call> calls) {
        return calls.size() + " requests, " + served(calls) + " served, "
                + count(calls, call -> call.status() > 200) + " answered otherwise, "
                + count(calls, call -> call.status() == 0) + " closed, "
                + count(calls, call -> call.status() < 0) + " without any answer";
    }
}

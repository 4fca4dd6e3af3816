package org.yuccagw.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.util.HeaderMap;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpQuery;
import org.yuccagw.adapters.http.HttpStreamListener;
import org.yuccagw.adapters.http.JsonText;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.port.KeyValueAnswer;
import org.yuccagw.core.port.KeyValueAnswer.Item;
import org.yuccagw.core.port.KeyValueCall;
import org.yuccagw.core.port.KeyValueCall.LeaseHandle;

/**
 * The key-value service over HTTP. Each call is answered exactly once and never throws.
 *
 * <p>What an answer promises: {@code Refused} only if no byte of the call can have reached the service, or the service
 * itself said that it did nothing (429 and 503). Everything else that isn't a clear answer is {@code Lost}: a write
 * may have taken effect. Nothing is sent twice here; the parts of the control core know what a repetition means.
 *
 * <p>Calls are counted, and those beyond {@link #CALLS_PER_SECOND} in a second are refused here: one entry that runs
 * wild must not use up the rate that all entries share.
 */
public final class KeyValueClient {
    /** The service gives about two thousand a second to all entries together; at rest one makes a few. */
    public static final int CALLS_PER_SECOND = 200;

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(700);

    /** The service answers within 4 ms, or some hundred milliseconds while it is slow. */
    private static final Duration SILENCE_TIMEOUT = Duration.ofMillis(1500);

    private static final Duration WATCH_MARGIN = Duration.ofMillis(700);
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int HISTORY_GONE = 410;
    private static final int CONDITION_FAILED = 412;
    private static final int TOO_LARGE = 413;
    private static final int OVER_RATE = 429;
    private static final int UNAVAILABLE = 503;
    private final HttpClient caller;
    private final NetworkAddress address;
    private final CircuitBreaker breaker = new CircuitBreaker();
    private final CallBudget budget = CallBudget.of(CALLS_PER_SECOND);
    private final LongAdder sent = new LongAdder();
    private final LongAdder refusedHere = new LongAdder();

    private KeyValueClient(HttpClient caller, NetworkAddress address) {
        this.caller = caller;
        this.address = address;
    }

    public static KeyValueClient of(HttpClient caller, NetworkAddress address) {
        return new KeyValueClient(caller, address);
    }

    /** Sends the call; the answer comes on an I/O thread, or at once on this one if the call is refused here. */
    public void submit(KeyValueCall call, Consumer<KeyValueAnswer> answer) {
        if (call instanceof KeyValueCall.ReadPrefix read) {
            readPages(read, "", List.of(), 0, answer);
        } else {
            send(call, KeyValueRequests.query(address, call), answer);
        }
    }

    /** Reads page after page. They are no snapshot: the first page's revision is the one from which to watch. */
    private void readPages(
            KeyValueCall.ReadPrefix read,
            String afterKey,
            List<Item> before,
            long firstRevision,
            Consumer<KeyValueAnswer> answer) {
        send(read, KeyValueRequests.page(address, read.prefix(), afterKey), page -> {
            if (!(page instanceof Page found)) {
                answer.accept(page);
                return;
            }
            List<Item> items = new ArrayList<>(before);
            items.addAll(found.items());
            long revision = afterKey.isEmpty() ? found.revision() : firstRevision;
            if (found.truncated() && !found.items().isEmpty()) {
                String last = items.get(items.size() - 1).key();
                readPages(read, last, items, revision, answer);
            } else {
                answer.accept(new KeyValueAnswer.Found(items, revision));
            }
        });
    }

    /** One page of a list. */
    private record Page(List<Item> items, long revision, boolean truncated) implements KeyValueAnswer {}

    private void send(KeyValueCall call, HttpQuery query, Consumer<KeyValueAnswer> answer) {
        if (!breaker.permits(System.nanoTime())) {
            refusedHere.increment();
            answer.accept(new KeyValueAnswer.Refused("the key-value service at " + address + " is not reachable"));
            return;
        }
        if (!budget.take(System.nanoTime())) {
            refusedHere.increment();
            answer.accept(new KeyValueAnswer.Refused("over this entry's own budget of " + CALLS_PER_SECOND
                    + " calls a second to the key-value service"));
            return;
        }
        sent.increment();
        Duration silence =
                call instanceof KeyValueCall.Watch watch ? watch.longestWait().plus(WATCH_MARGIN) : SILENCE_TIMEOUT;
        try {
            caller.stream(
                    query.withTimeouts(CONNECT_TIMEOUT, silence),
                    caller.worker().getIoThread(ThreadLocalRandom.current().nextInt()),
                    new CallListener(call, answer));
        } catch (RuntimeException e) {
            answer.accept(new KeyValueAnswer.Refused("the call could not be sent: " + e));
        }
    }

    /** Calls that were sent since the start. */
    public long callsSent() {
        return sent.sum();
    }

    /** Calls that the breaker or the budget kept back since the start. */
    public long callsRefusedHere() {
        return refusedHere.sum();
    }

    /** Whether the service counts as down at present. */
    public boolean isDown() {
        return breaker.isOpen();
    }

    private static KeyValueAnswer read(KeyValueCall call, int status, byte[] body) throws IOException {
        return switch (status) {
            case OVER_RATE -> new KeyValueAnswer.Refused("the key-value service is over its rate");
            case UNAVAILABLE -> new KeyValueAnswer.Refused("the key-value service says that it did nothing");
            case TOO_LARGE -> new KeyValueAnswer.Refused("the key-value service says that the value is too large");
            case HISTORY_GONE -> new KeyValueAnswer.HistoryGone();
            case NOT_FOUND -> readAbsent(call, body);
            case CONDITION_FAILED -> new KeyValueAnswer.Conflict(currentRevision(call, JsonText.read(body)));
            case OK -> readDone(call, JsonText.read(body));
            default -> new KeyValueAnswer.Lost("the key-value service answered with status " + status);
        };
    }

    private static KeyValueAnswer readAbsent(KeyValueCall call, byte[] body) throws IOException {
        if (call instanceof KeyValueCall.Read) {
            JsonNode answer = body.length == 0 ? JsonText.object() : JsonText.read(body);
            return new KeyValueAnswer.Found(
                    List.of(), answer.path(PlatformNames.STORE_REVISION).asLong(0));
        }
        return new KeyValueAnswer.LeaseLapsed();
    }

    private static KeyValueAnswer readDone(KeyValueCall call, JsonNode answer) throws IOException {
        if (call instanceof KeyValueCall.GrantLease) {
            return new KeyValueAnswer.LeaseGranted(new LeaseHandle(number(answer, PlatformNames.LEASE)));
        }
        if (call instanceof KeyValueCall.RenewLease || call instanceof KeyValueCall.RevokeLease) {
            return new KeyValueAnswer.LeaseRenewed();
        }
        if (call instanceof KeyValueCall.CompareAndSwap || call instanceof KeyValueCall.Delete) {
            return new KeyValueAnswer.Written(number(answer, PlatformNames.REVISION));
        }
        long storeRevision = number(answer, PlatformNames.STORE_REVISION);
        if (call instanceof KeyValueCall.Read) {
            return new KeyValueAnswer.Found(List.of(readItem(answer)), storeRevision);
        }
        if (call instanceof KeyValueCall.Watch) {
            return new KeyValueAnswer.Found(readItems(answer.path(PlatformNames.EVENTS)), storeRevision);
        }
        boolean truncated = answer.path(PlatformNames.TRUNCATED).asBoolean(false);
        return new Page(readItems(answer.path(PlatformNames.ITEMS)), storeRevision, truncated);
    }

    /** The revision of the call's key among the items that the refusal of a condition names. */
    private static long currentRevision(KeyValueCall call, JsonNode answer) throws IOException {
        String key = call instanceof KeyValueCall.CompareAndSwap swap ? swap.key() : ((KeyValueCall.Delete) call).key();
        for (Item item : readItems(answer.path(PlatformNames.ITEMS))) {
            if (item.key().equals(key) && !item.deleted()) {
                return item.revision();
            }
        }
        return KeyValueCall.ABSENT;
    }

    private static List<Item> readItems(JsonNode list) throws IOException {
        List<Item> items = new ArrayList<>();
        for (JsonNode item : list) {
            if (item.isObject()) {
                items.add(readItem(item));
            }
        }
        return items;
    }

    private static Item readItem(JsonNode item) throws IOException {
        JsonNode value = item.path(PlatformNames.VALUE);
        boolean deleted = item.path(PlatformNames.REMOVED).asBoolean(false) || !value.isTextual();
        byte[] bytes = deleted ? new byte[0] : value.binaryValue();
        long revision = item.path(PlatformNames.REVISION).asLong(KeyValueCall.ABSENT);
        return new Item(item.path(PlatformNames.KEY).asText(), bytes, revision, deleted);
    }

    /** A field that is missing must not read as 0: revision 0 means that the key is absent. */
    private static long number(JsonNode object, String field) throws IOException {
        JsonNode value = object.path(field);
        if (!value.isIntegralNumber()) {
            throw new IOException("the answer has no number '" + field + "'");
        }
        return value.asLong();
    }

    private final class CallListener implements HttpStreamListener {
        private final KeyValueCall call;
        private final Consumer<KeyValueAnswer> answer;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;

        private CallListener(KeyValueCall call, Consumer<KeyValueAnswer> answer) {
            this.call = call;
            this.answer = answer;
        }

        @Override
        public void onHead(int answeredStatus, HeaderMap headers) {
            status = answeredStatus;
        }

        @Override
        public void onBytes(ByteBuffer bytes) {
            byte[] chunk = new byte[bytes.remaining()];
            bytes.get(chunk);
            body.write(chunk, 0, chunk.length);
        }

        @Override
        public void onEnd() {
            KeyValueAnswer read;
            try {
                read = read(call, status, body.toByteArray());
            } catch (IOException e) {
                read = new KeyValueAnswer.Lost("the key-value service's answer can't be read: " + e.getMessage());
            }
            if (read instanceof KeyValueAnswer.Lost || status == UNAVAILABLE) {
                breaker.failed(System.nanoTime());
            } else {
                breaker.succeeded();
            }
            answer.accept(read);
        }

        @Override
        public void onFailure(Phase phase, boolean silent, IOException cause) {
            breaker.failed(System.nanoTime());
            if (phase == Phase.CONNECT) {
                answer.accept(new KeyValueAnswer.Refused(cause.getMessage()));
            } else {
                answer.accept(new KeyValueAnswer.Lost(cause.getMessage()));
            }
        }
    }
}

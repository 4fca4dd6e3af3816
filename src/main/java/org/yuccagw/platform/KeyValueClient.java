package org.yuccagw.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpRequest;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.adapters.http.HttpResponseListener;
import org.yuccagw.adapters.http.JsonText;
import org.yuccagw.adapters.http.ResponseCollector;
import org.yuccagw.adapters.http.UntrustedInput;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.port.KeyValueAnswer;
import org.yuccagw.core.port.KeyValueAnswer.Item;
import org.yuccagw.core.port.KeyValueCall;
import org.yuccagw.core.port.KeyValueCall.LeaseHandle;
import org.yuccagw.core.port.KeyValueRevision;
import org.yuccagw.core.port.KeyValueTimeouts;

/**
 * HTTP client of the key-value service. Each call is answered exactly once and never throws.
 *
 * <p>An answer is {@code Refused} only if no byte of the call can have reached the service, or if the service stated
 * that it did nothing (413, 429 and 503). Every other unsuccessful or unreadable answer is {@code Lost}: a write may
 * have taken effect. The client never retries; the components of the control core decide whether a retry is safe.
 *
 * <p>Calls are counted, and calls beyond {@link #MAX_CALLS_PER_SECOND} are refused locally, so that one faulty entry
 * can't use up the rate that all entries share.
 */
public final class KeyValueClient {
    /** The service grants about 2,000 calls a second to all entries together; an idle entry makes a few. */
    public static final int MAX_CALLS_PER_SECOND = 200;

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int GONE = 410;
    private static final int PRECONDITION_FAILED = 412;
    private static final int CONTENT_TOO_LARGE = 413;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;
    private final HttpClient httpClient;
    private final NetworkAddress address;
    private final CircuitBreaker breaker = new CircuitBreaker();
    private final CallTokenBucket tokenBucket = CallTokenBucket.of(MAX_CALLS_PER_SECOND);
    private final LongAdder sentCalls = new LongAdder();
    private final LongAdder refusedCalls = new LongAdder();

    private KeyValueClient(HttpClient httpClient, NetworkAddress address) {
        this.httpClient = httpClient;
        this.address = address;
    }

    public static KeyValueClient of(HttpClient httpClient, NetworkAddress address) {
        return new KeyValueClient(httpClient, address);
    }

    /**
     * Sends a call.
     *
     * @param answer called exactly once: on an I/O thread, or on the calling thread if the call is refused locally
     */
    public void submit(KeyValueCall call, Consumer<KeyValueAnswer> answer) {
        if (call instanceof KeyValueCall.ReadPrefix read) {
            readPages(read, "", List.of(), 0, answer);
        } else {
            send(call, KeyValueRequests.encodeCall(address, call), answer);
        }
    }

    /**
     * Reads a list page by page. The pages are not a consistent snapshot, so the result has the revision of the first
     * page; a watch that starts from there misses no change.
     */
    private void readPages(
            KeyValueCall.ReadPrefix read,
            String afterKey,
            List<Item> previousItems,
            long firstRevision,
            Consumer<KeyValueAnswer> answer) {
        send(read, KeyValueRequests.encodePage(address, read.prefix(), afterKey), page -> {
            if (!(page instanceof KeyValueAnswer.InEra inEra && inEra.answer() instanceof Page found)) {
                answer.accept(page);
                return;
            }
            if (!afterKey.isEmpty() && inEra.era() != KeyValueRevision.era(firstRevision)) {
                answer.accept(new KeyValueAnswer.Lost("the service was restored between two pages"));
                return;
            }
            List<Item> items = new ArrayList<>(previousItems);
            items.addAll(found.items());
            long revision = afterKey.isEmpty() ? found.revision() : firstRevision;
            if (found.truncated() && found.items().isEmpty()) {
                answer.accept(new KeyValueAnswer.Lost("the list ended before its last page"));
            } else if (found.truncated()) {
                String lastKey = items.get(items.size() - 1).key();
                readPages(read, lastKey, items, revision, answer);
            } else {
                answer.accept(new KeyValueAnswer.InEra(inEra.era(), new KeyValueAnswer.Found(items, revision)));
            }
        });
    }

    /** One page of a list; it never leaves this class. */
    private record Page(List<Item> items, long revision, boolean truncated) implements KeyValueAnswer {}

    private void send(KeyValueCall call, HttpRequest request, Consumer<KeyValueAnswer> answer) {
        if (!breaker.permitsCall(System.nanoTime())) {
            refusedCalls.increment();
            answer.accept(new KeyValueAnswer.Refused("the key-value service at " + address + " is not reachable"));
            return;
        }
        if (!tokenBucket.tryTake(System.nanoTime())) {
            refusedCalls.increment();
            answer.accept(new KeyValueAnswer.Refused("over this entry's own budget of " + MAX_CALLS_PER_SECOND
                    + " calls a second to the key-value service"));
            return;
        }
        sentCalls.increment();
        try {
            httpClient.stream(
                    request.withTimeouts(KeyValueTimeouts.CONNECT, KeyValueTimeouts.silence(call)),
                    httpClient.worker().getIoThread(ThreadLocalRandom.current().nextInt()),
                    ResponseCollector.of(
                            response -> answer.accept(readResponse(call, response)),
                            (phase, cause) -> answer.accept(readFailure(phase, cause))));
        } catch (RuntimeException e) {
            answer.accept(new KeyValueAnswer.Refused("the call could not be sent: " + e));
        }
    }

    private KeyValueAnswer readResponse(KeyValueCall call, HttpResponse response) {
        KeyValueAnswer read;
        try {
            read = UntrustedInput.read(() -> readInEra(call, response));
        } catch (IOException e) {
            read = new KeyValueAnswer.Lost("the key-value service's answer can't be read: " + e.getMessage());
        }
        if (isLost(read) || response.status() == SERVICE_UNAVAILABLE) {
            breaker.recordFailure(System.nanoTime());
        } else {
            breaker.recordSuccess();
        }
        return read;
    }

    private static KeyValueAnswer readInEra(KeyValueCall call, HttpResponse response) throws IOException {
        long era = readEra(response);
        return new KeyValueAnswer.InEra(era, readAnswer(call, era, response.status(), response.body()));
    }

    private static boolean isLost(KeyValueAnswer answer) {
        return answer instanceof KeyValueAnswer.Lost
                || (answer instanceof KeyValueAnswer.InEra inEra && inEra.answer() instanceof KeyValueAnswer.Lost);
    }

    /** Returns the era that an answer states; 0 if the service knows no eras. */
    private static long readEra(HttpResponse response) throws IOException {
        String stated = response.header(PlatformNames.STORE_ERA);
        try {
            return stated.isEmpty() ? 0 : Long.parseLong(stated.trim());
        } catch (NumberFormatException e) {
            throw new IOException("the era '" + stated + "' is not a number", e);
        }
    }

    private KeyValueAnswer readFailure(HttpResponseListener.Phase phase, IOException cause) {
        breaker.recordFailure(System.nanoTime());
        return phase == HttpResponseListener.Phase.CONNECT
                ? new KeyValueAnswer.Refused(cause.getMessage())
                : new KeyValueAnswer.Lost(cause.getMessage());
    }

    /** Returns the number of calls sent since the start. */
    public long callsSent() {
        return sentCalls.sum();
    }

    /** Returns the number of calls that the circuit breaker or the token bucket has refused since the start. */
    public long callsRefusedLocally() {
        return refusedCalls.sum();
    }

    /** Returns whether the service counts as down at present, which is while the circuit breaker is open. */
    public boolean isDown() {
        return breaker.isOpen();
    }

    private static KeyValueAnswer readAnswer(KeyValueCall call, long era, int status, byte[] body) throws IOException {
        return switch (status) {
            case TOO_MANY_REQUESTS -> new KeyValueAnswer.Refused("the key-value service is over its rate");
            case SERVICE_UNAVAILABLE -> new KeyValueAnswer.Refused("the key-value service says that it did nothing");
            case CONTENT_TOO_LARGE ->
                new KeyValueAnswer.Refused("the key-value service says that the value is too large");
            case GONE -> new KeyValueAnswer.HistoryGone();
            case NOT_FOUND -> readNotFound(call, era, body);
            case PRECONDITION_FAILED -> new KeyValueAnswer.Conflict(currentRevision(call, era, JsonText.read(body)));
            case OK ->
                isProvenByStatus(call)
                        ? new KeyValueAnswer.LeaseRenewed()
                        : readSuccess(call, era, JsonText.read(body));
            default -> new KeyValueAnswer.Lost("the key-value service answered with status " + status);
        };
    }

    private static boolean isProvenByStatus(KeyValueCall call) {
        return call instanceof KeyValueCall.RenewLease || call instanceof KeyValueCall.RevokeLease;
    }

    private static KeyValueAnswer readNotFound(KeyValueCall call, long era, byte[] body) throws IOException {
        if (call instanceof KeyValueCall.Read) {
            JsonNode answer = body.length == 0 ? JsonText.object() : JsonText.read(body);
            return new KeyValueAnswer.Found(
                    List.of(),
                    KeyValueRevision.of(
                            era, answer.path(PlatformNames.STORE_REVISION).asLong(0)));
        }
        return new KeyValueAnswer.LeaseLapsed();
    }

    private static KeyValueAnswer readSuccess(KeyValueCall call, long era, JsonNode answer) throws IOException {
        if (call instanceof KeyValueCall.GrantLease) {
            return new KeyValueAnswer.LeaseGranted(new LeaseHandle(era, requiredLong(answer, PlatformNames.LEASE)));
        }
        if (call instanceof KeyValueCall.CompareAndSwap || call instanceof KeyValueCall.Delete) {
            return new KeyValueAnswer.Written(KeyValueRevision.of(era, requiredLong(answer, PlatformNames.REVISION)));
        }
        long storeRevision = KeyValueRevision.of(era, requiredLong(answer, PlatformNames.STORE_REVISION));
        if (call instanceof KeyValueCall.Read) {
            return new KeyValueAnswer.Found(List.of(readItem(era, answer)), storeRevision);
        }
        if (call instanceof KeyValueCall.Watch) {
            return new KeyValueAnswer.Found(readItems(era, answer.path(PlatformNames.EVENTS)), storeRevision);
        }
        boolean truncated = answer.path(PlatformNames.TRUNCATED).asBoolean(false);
        return new Page(readItems(era, answer.path(PlatformNames.ITEMS)), storeRevision, truncated);
    }

    /** Returns the current revision of the call's key, from the items in the answer to a failed condition. */
    private static long currentRevision(KeyValueCall call, long era, JsonNode answer) throws IOException {
        String key = call instanceof KeyValueCall.CompareAndSwap swap ? swap.key() : ((KeyValueCall.Delete) call).key();
        for (Item item : readItems(era, answer.path(PlatformNames.ITEMS))) {
            if (item.key().equals(key) && !item.deleted()) {
                return item.revision();
            }
        }
        return KeyValueCall.ABSENT;
    }

    private static List<Item> readItems(long era, JsonNode list) throws IOException {
        List<Item> items = new ArrayList<>();
        for (JsonNode item : list) {
            if (item.isObject()) {
                items.add(readItem(era, item));
            }
        }
        return items;
    }

    private static Item readItem(long era, JsonNode item) throws IOException {
        JsonNode value = item.path(PlatformNames.VALUE);
        boolean deleted = item.path(PlatformNames.REMOVED).asBoolean(false) || !value.isTextual();
        byte[] bytes = deleted ? new byte[0] : value.binaryValue();
        long revision = item.path(PlatformNames.REVISION).asLong(KeyValueCall.ABSENT);
        return new Item(item.path(PlatformNames.KEY).asText(), bytes, KeyValueRevision.of(era, revision), deleted);
    }

    /** Returns a mandatory number. A missing field must not read as 0: revision 0 means that the key is absent. */
    private static long requiredLong(JsonNode object, String field) throws IOException {
        JsonNode value = object.path(field);
        if (!value.isIntegralNumber()) {
            throw new IOException("the answer has no number '" + field + "'");
        }
        return value.asLong();
    }
}

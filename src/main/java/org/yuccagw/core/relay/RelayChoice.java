package org.yuccagw.core.relay;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntUnaryOperator;
import java.util.function.Supplier;
import org.yuccagw.core.id.EntryId;

/**
 * Chooses the entry that relays a request: any one while all can relay. Once some can't, those that lately did are
 * chosen first and those that lately didn't last, so that entries that are cut off together don't keep asking each
 * other.
 *
 * <p>Thread-safe.
 */
public final class RelayChoice {
    /** Short, since a cut ends without notice; asking an entry that is still cut off costs one short round trip. */
    private static final Duration MEMORY = Duration.ofSeconds(3);

    private final Supplier<ImmutableList<Relay>> relays;
    private final IntUnaryOperator randomBelow;
    private final Map<EntryId, Long> suitableNanos = new HashMap<>();
    private final Map<EntryId, Long> unsuitableNanos = new HashMap<>();

    private RelayChoice(Supplier<ImmutableList<Relay>> relays, IntUnaryOperator randomBelow) {
        this.relays = relays;
        this.randomBelow = randomBelow;
    }

    /**
     * Creates the choice of one entry.
     *
     * @param relays returns the other entries that relay at present
     * @param randomBelow returns a random number from 0 to below its argument
     */
    public static RelayChoice of(Supplier<ImmutableList<Relay>> relays, IntUnaryOperator randomBelow) {
        return new RelayChoice(relays, randomBelow);
    }

    /** Returns the entry to ask next; empty if all have been asked. */
    public synchronized Optional<Relay> next(Set<EntryId> asked, long nowNanos) {
        forget(suitableNanos, nowNanos);
        forget(unsuitableNanos, nowNanos);
        List<Relay> remaining = relays.get().stream()
                .filter(relay -> !asked.contains(relay.entry()))
                .toList();
        List<Relay> candidates = best(remaining);
        return candidates.isEmpty()
                ? Optional.empty()
                : Optional.of(candidates.get(randomBelow.applyAsInt(candidates.size())));
    }

    private List<Relay> best(List<Relay> relaysToAsk) {
        List<Relay> suitable = relaysToAsk.stream()
                .filter(relay -> suitableNanos.containsKey(relay.entry()))
                .toList();
        if (!unsuitableNanos.isEmpty() && !suitable.isEmpty()) {
            return suitable;
        }
        List<Relay> untried = relaysToAsk.stream()
                .filter(relay -> !unsuitableNanos.containsKey(relay.entry()))
                .toList();
        return untried.isEmpty() ? relaysToAsk : untried;
    }

    private static void forget(Map<EntryId, Long> markedNanos, long nowNanos) {
        markedNanos.values().removeIf(marked -> nowNanos - marked > MEMORY.toNanos());
    }

    /** Records that the entry relayed a request. */
    public synchronized void markSuitable(EntryId entry, long nowNanos) {
        unsuitableNanos.remove(entry);
        suitableNanos.put(entry, nowNanos);
    }

    /** Records that the entry couldn't relay, for a reason that lies with it and not with an endpoint. */
    public synchronized void markUnsuitable(EntryId entry, long nowNanos) {
        suitableNanos.remove(entry);
        unsuitableNanos.put(entry, nowNanos);
    }
}

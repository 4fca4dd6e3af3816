package org.yuccagw.core.origin;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.fleet.EntryContact;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.peers.PeersComponent;

/** Finds the origins of streams that callers take up, here or at the entries that keep them. */
final class OriginLookups {
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(100);

    /** A caller may come back faster than the message of its first event. */
    private static final Duration REPEAT_DELAY = Duration.ofMillis(50);

    private static final int MAX_ROUNDS = 2;

    /** For as long after its start, an entry may not know the others yet. */
    private static final Duration DISCOVERY_PERIOD = PeersComponent.DISCOVERY_PERIOD;

    private final Function<StreamQuery, Optional<StreamOrigin>> known;
    private final OriginRecords records;
    private final OriginOwners owners;
    private final Map<Long, Lookup> lookups = new HashMap<>();
    private ControlContext context;
    private long startedNanos;
    private long nextNumber = 1;

    /** One origin that is being looked up. */
    private static final class Lookup {
        private final StreamQuery query;
        private final Consumer<Optional<StreamOrigin>> reply;
        private final Set<EntryId> unanswered = new HashSet<>();
        private int rounds;

        private Lookup(StreamQuery query, Consumer<Optional<StreamOrigin>> reply) {
            this.query = query;
            this.reply = reply;
        }
    }

    /**
     * Creates the lookups of one entry.
     *
     * @param known returns the origin if this entry knows it
     */
    OriginLookups(Function<StreamQuery, Optional<StreamOrigin>> known, OriginRecords records, OriginOwners owners) {
        this.known = known;
        this.records = records;
        this.owners = owners;
    }

    void start(ControlContext startContext) {
        context = startContext;
        startedNanos = context.nowNanos();
    }

    /**
     * Finds the origin of a stream.
     *
     * @param reply called once on the control thread, with empty if no entry that was asked knows the stream
     */
    void find(StreamQuery query, Consumer<Optional<StreamOrigin>> reply) {
        askOrReply(new Lookup(query, reply));
    }

    private void askOrReply(Lookup lookup) {
        Optional<StreamOrigin> found = known.apply(lookup.query);
        if (found.isPresent() || isLast(lookup.rounds)) {
            lookup.reply.accept(found);
            return;
        }
        lookup.rounds++;
        long number = nextNumber++;
        lookups.put(number, lookup);
        for (EntryContact asked : owners.askedFor(lookup.query.request())) {
            if (!asked.entry().equals(context.self().entry())) {
                lookup.unanswered.add(asked.entry());
                context.send(asked.entry(), new OriginMessage.Ask(number, lookup.query));
            }
        }
        if (lookup.unanswered.isEmpty()) {
            endRound(number, REPEAT_DELAY);
        } else {
            context.after(ANSWER_TIMEOUT, () -> endRound(number, Duration.ZERO));
        }
    }

    private boolean isLast(int rounds) {
        boolean discovering = context.nowNanos() - startedNanos < DISCOVERY_PERIOD.toNanos();
        return rounds >= MAX_ROUNDS && !discovering;
    }

    void onAnswer(EntryId from, OriginMessage.Answer answer) {
        Lookup lookup = lookups.get(answer.number());
        if (lookup == null) {
            return;
        }
        if (answer.record().isPresent()) {
            OriginMessage.Kept kept = answer.record().get();
            records.put(kept.origin(), kept.remaining(), context.nowNanos());
            endRound(answer.number(), Duration.ZERO);
        } else if (lookup.unanswered.remove(from) && lookup.unanswered.isEmpty()) {
            endRound(answer.number(), REPEAT_DELAY);
        }
    }

    private void endRound(long number, Duration delay) {
        Lookup lookup = lookups.remove(number);
        if (lookup == null) {
            return;
        }
        lookup.unanswered.clear();
        if (delay.isZero()) {
            askOrReply(lookup);
        } else {
            context.after(delay, () -> askOrReply(lookup));
        }
    }
}

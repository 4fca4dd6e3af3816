package org.yuccagw.core.stores;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.deployment.CacheStore;
import org.yuccagw.core.deployment.EngineTraits;
import org.yuccagw.core.follow.ConfigurationComponent;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.prompt.PromptPart;
import org.yuccagw.core.prompt.PromptShape;

/**
 * Knows what all cache stores hold and plans what an endpoint fetches and saves for a prompt.
 *
 * <p>All shared parts of a prompt are fetched where a store holds them whole; an endpoint that still holds a part
 * itself doesn't fetch it. Parts that no store holds are saved once they are computed: short ones to stores that begin
 * a transfer quickly, long ones to those with room, and near ones before far ones. The last part of a prompt is never
 * saved, since no other prompt shares it.
 *
 * <p>Example: a notebook of 5,000 tokens is computed once, in 100 ms, and saved. When it returns after its engine has
 * evicted it, it is there again after 30 ms of transfer.
 */
public final class StoresComponent implements ControlComponent {
    /** Twice the wait of a call for events: one lost call is borne. */
    static final Duration FRESH = Duration.ofMillis(1800);

    /** Longer than anyone uses what it knew of the store before its restart. */
    static final Duration NEWBORN = Duration.ofMillis(2200);

    /** A save begins when its prompt is read, which may wait behind others, and its event comes some 100 ms late. */
    static final Duration SAVE_PATIENCE = Duration.ofSeconds(3);

    /** What was reserved and is not yet told by events must fit beside what is. */
    static final double FILL_LIMIT = 0.9;

    static final Duration FETCH_TIME = Duration.ofMillis(1500);

    /** Parts up to this size are short: reading them takes less than the quickest large store needs to begin. */
    private static final int SHORT_PART_TOKENS = 1_500;

    /**
     * Longest predicted wait for a store's link with which a part is still fetched. Beyond that the link carries more
     * than it can: fetches would end too late, and their parts would be computed after all, later still. On a day whose
     * stores were asked for 0.8 of what they carry, 327 fetches ended too late.
     */
    private static final Duration LONGEST_LINK_WAIT = Duration.ofMillis(700);

    /** Saves go last: a part that isn't saved now is saved when it returns. */
    private static final Duration LONGEST_LINK_WAIT_FOR_SAVES = Duration.ofMillis(250);

    private static final double BITS_PER_MEGABIT = 1e6;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Transfers between failure domains take so many times as long, as the platform tells. */
    private static final double FAR_TRANSFER = 2;

    private final Supplier<List<EntryId>> entries;
    private final CacheHolderEvents events;
    private ControlContext context;
    private long tokenBytes;

    private StoresComponent(Supplier<List<EntryId>> entries) {
        this.entries = entries;
        this.events = CacheHolderEvents.of(entries, this::askForList, CacheHolderEvents.Calls.UNLIMITED);
    }

    /**
     * The knowledge of the stores of one entry.
     *
     * @param entries those that share the stores' links, this one among them
     */
    public static StoresComponent of(Supplier<List<EntryId>> entries) {
        return new StoresComponent(entries);
    }

    @Override
    public void start(ControlContext startContext) {
        context = startContext;
        events.start(startContext);
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof ConfigurationComponent.Applied applied) {
            tokenBytes = applied.deployment().services().values().stream()
                    .flatMap(service -> service.engine().stream())
                    .mapToLong(EngineTraits::tokenBytes)
                    .max()
                    .orElse(0);
            events.adopt(applied.deployment().stores());
        }
        events.handle(event);
    }

    // ---- Plans.

    /**
     * How a part of a prompt would come to an endpoint.
     *
     * @param millis time of the transfer, without what others ask of the links
     */
    public record Transfer(int tokens, double millis) {}

    /** The transfer of a part to an endpoint; empty if no store holds the part whole, or its link is too busy. */
    public Optional<Transfer> transfer(String salt, PromptPart part, FailureDomain domain, EngineTraits engine) {
        return source(salt, part, Optional.of(domain))
                .map(stored ->
                        new Transfer(part.tokens(), transferMillis(stored.store(), part.tokens(), domain, engine)));
    }

    private double transferMillis(CacheStore store, int tokens, FailureDomain domain, EngineTraits engine) {
        double bits = 8.0 * tokens * engine.tokenBytes();
        double megabits = Math.min(store.linkMegabits(), engine.linkMegabits());
        double near = megabits > 0 ? bits / (megabits * BITS_PER_MEGABIT) * MILLIS_PER_SECOND : 0;
        return store.firstMillis() + (store.domain().equals(domain) ? near : near * FAR_TRANSFER);
    }

    /**
     * The plan for a prompt on an endpoint; notes the saves as under way.
     *
     * @param domain of the endpoint
     * @param heldParts how many parts at the beginning of the prompt the endpoint holds; they are named as fetches
     *     all the same, in case it drops them meanwhile, but don't count as transfers
     * @param mayKeep whether parts that no store holds may be saved in a failure domain
     */
    public Optional<CachePlan> plan(
            PromptShape prompt, String salt, FailureDomain domain, int heldParts, Predicate<FailureDomain> mayKeep) {
        if (events.all().isEmpty() || prompt.parts().size() < 2) {
            return Optional.empty();
        }
        ImmutableList.Builder<Optional<CachePlan.Source>> fetches = ImmutableList.builder();
        ImmutableList.Builder<Optional<NetworkAddress>> saves = ImmutableList.builder();
        long until = 0;
        List<PromptPart> shared = prompt.sharedParts();
        for (int index = 0; index < shared.size(); index++) {
            PromptPart part = shared.get(index);
            boolean isSession = index == shared.size() - 1;
            Optional<StoredParts> source = source(salt, part, Optional.of(domain));
            fetches.add(source.map(
                    stored -> new CachePlan.Source(stored.store().address(), stored.tokens(salt, part.id()))));
            if (index >= heldParts) {
                source.ifPresent(stored -> countTransfer(stored, part.tokens()));
            }
            Optional<StoredParts> target = target(salt, part, isSession, source, domain, mayKeep);
            target.ifPresent(stored -> {
                stored.beginSave(salt, part.id(), context.nowNanos());
                countTransfer(stored, part.tokens());
            });
            saves.add(target.map(stored -> stored.store().address()));
            if (source.isPresent()) {
                long end = source.get().clockAt(context.nowNanos()) + FETCH_TIME.toMillis();
                until = until == 0 ? end : Math.min(until, end);
            }
        }
        fetches.add(Optional.empty());
        saves.add(Optional.empty());
        return Optional.of(new CachePlan(fetches.build(), saves.build(), until));
    }

    /** Every entry uses its part of a link; requests come evenly to all. */
    private void countTransfer(StoredParts stored, int tokens) {
        double bits = 8.0 * tokens * tokenBytes;
        double seconds = bits
                / (stored.store().linkMegabits()
                        * BITS_PER_MEGABIT
                        / Math.max(1, entries.get().size()));
        if (Double.isFinite(seconds)) {
            stored.addTransfer((long) (seconds * NANOS_PER_SECOND), context.nowNanos());
        }
    }

    private boolean hasLink(StoredParts stored, Duration longestWait) {
        return stored.linkWaitNanos(context.nowNanos()) < longestWait.toNanos();
    }

    private Optional<StoredParts> source(String salt, PromptPart part, Optional<FailureDomain> domain) {
        return events.all().stream()
                .filter(stored -> stored.isFresh(context.nowNanos()))
                .filter(stored -> stored.tokens(salt, part.id()) >= part.tokens())
                .filter(stored -> hasLink(stored, LONGEST_LINK_WAIT))
                .min(Comparator.comparingDouble(stored -> distance(stored.store(), domain)));
    }

    /** A near store first, then one that begins quickly. */
    private static double distance(CacheStore store, Optional<FailureDomain> domain) {
        boolean far = domain.isPresent() && !store.domain().equals(domain.get());
        return (far ? 1_000 : 0) + store.firstMillis();
    }

    /**
     * Where a part is saved. Parts that many sessions begin with are asked for all the time, so each failure domain
     * gets a copy in a quick store; the part of one session gets one copy, in a quick store if it is short.
     */
    private Optional<StoredParts> target(
            String salt,
            PromptPart part,
            boolean isSession,
            Optional<StoredParts> source,
            FailureDomain domain,
            Predicate<FailureDomain> mayKeep) {
        boolean saving = events.all().stream().anyMatch(stored -> stored.isSaving(salt, part.id(), context.nowNanos()));
        boolean heldSomewhere =
                events.all().stream().anyMatch(stored -> stored.tokens(salt, part.id()) >= part.tokens());
        if (saving || (isSession && heldSomewhere)) {
            return Optional.empty();
        }
        boolean quick = !isSession || part.tokens() <= SHORT_PART_TOKENS;
        Optional<StoredParts> best = events.all().stream()
                .filter(stored -> mayKeep.test(stored.store().domain()))
                .filter(stored -> stored.takesSaves(context.nowNanos()) && stored.hasRoom(part.tokens()))
                .filter(stored -> hasLink(stored, LONGEST_LINK_WAIT_FOR_SAVES))
                .min(Comparator.comparingDouble(
                                (StoredParts stored) -> quick ? stored.store().firstMillis() : isLarge(stored))
                        .thenComparingDouble(stored -> distance(stored.store(), Optional.of(domain)))
                        .thenComparingInt(stored -> (stored.store().id().value() + part.id()).hashCode()));
        boolean nearer = best.isPresent()
                && source.isPresent()
                && distance(best.get().store(), Optional.of(domain))
                        < distance(source.get().store(), Optional.of(domain));
        return source.isEmpty() || nearer ? best : Optional.empty();
    }

    /** Stores of at least half the size of the largest one come first. */
    private double isLarge(StoredParts stored) {
        return stored.store().capacityTokens() >= largest() / 2.0 ? 0 : 1;
    }

    private double largest() {
        return events.all().stream()
                .mapToLong(stored -> stored.store().capacityTokens())
                .max()
                .orElse(0);
    }

    /** The stores that are configured. */
    ImmutableList<CacheStore> configured() {
        return events.configured();
    }

    private void askForList(StoredParts stored) {
        context.perform(new StoreCall.AskList(stored.store()));
    }
}

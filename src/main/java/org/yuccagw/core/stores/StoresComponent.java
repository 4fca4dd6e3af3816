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
 * Tracks the contents of all cache stores and plans what an endpoint fetches and saves for a prompt.
 *
 * <p>All shared parts of a prompt are fetched if a store holds them whole; an endpoint that still holds a part itself
 * doesn't fetch it. Parts that no store holds are saved once they are computed: short ones to stores that begin a
 * transfer quickly, long ones to stores with free capacity, and to local stores before remote ones. The last part of a
 * prompt is never saved, since no other prompt shares it.
 *
 * <p>Example: a notebook of 5,000 tokens is computed once, in 100 ms, and saved. When it is sent again after its engine
 * has evicted it, a transfer of 30 ms restores it.
 */
public final class StoresComponent implements ControlComponent {
    /** Twice the wait of a poll for events, so that one lost poll is tolerated. */
    static final Duration MAX_CONFIRMATION_AGE = Duration.ofMillis(1800);

    /** Longer than {@link #MAX_CONFIRMATION_AGE}: no entry uses the contents from before the restart any more. */
    static final Duration SAVE_DELAY_AFTER_RESTART = Duration.ofMillis(2200);

    /**
     * A save begins when its prompt is prefilled, which may wait behind others, and its event arrives some 100 ms late.
     */
    static final Duration SAVE_TIMEOUT = Duration.ofSeconds(3);

    /** Leaves capacity for saves that were requested and aren't reported by events yet. */
    static final double MAX_FILL_RATIO = 0.9;

    static final Duration FETCH_TIMEOUT = Duration.ofMillis(1500);

    /**
     * Up to this size the prefill of a part takes less time than the quickest large store needs to begin a transfer.
     */
    private static final int SHORT_PART_TOKENS = 1_500;

    /**
     * Longest predicted wait for a store's link with which a part is still fetched. Beyond it the link is overloaded:
     * fetches would miss their deadline, and their parts would be recomputed after all, later still. With stores loaded
     * to 0.8 of their links, 327 fetches missed their deadline.
     */
    private static final Duration MAX_LINK_WAIT_FOR_FETCHES = Duration.ofMillis(700);

    /** Saves yield to fetches: a part that isn't saved now is saved when it is sent again. */
    private static final Duration MAX_LINK_WAIT_FOR_SAVES = Duration.ofMillis(250);

    private static final double BITS_PER_MEGABIT = 1e6;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Transfers between failure domains take this many times as long, according to the platform. */
    private static final double REMOTE_TRANSFER_FACTOR = 2;

    private final Supplier<List<EntryId>> entries;
    private final CacheHolderEvents events;
    private ControlContext context;
    private long tokenBytes;

    private StoresComponent(Supplier<List<EntryId>> entries) {
        this.entries = entries;
        this.events = CacheHolderEvents.of(entries, this::requestList, CacheHolderEvents.CallPolicy.UNLIMITED);
    }

    /**
     * Creates the component of one entry.
     *
     * @param entries the entries that share the stores' links, this one among them
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
            events.setHolders(applied.deployment().stores());
        }
        events.handle(event);
    }

    // ---- Cache plans.

    /**
     * The transfer of one part of a prompt to an endpoint.
     *
     * @param millis transfer time in milliseconds, without contention on the links
     */
    public record Transfer(int tokens, double millis) {}

    /**
     * Returns the transfer of a part to an endpoint, or empty if no store holds the part whole or its link is
     * overloaded.
     */
    public Optional<Transfer> transfer(String salt, PromptPart part, FailureDomain domain, EngineTraits engine) {
        return source(salt, part, Optional.of(domain))
                .map(stored ->
                        new Transfer(part.tokens(), transferMillis(stored.store(), part.tokens(), domain, engine)));
    }

    private double transferMillis(CacheStore store, int tokens, FailureDomain domain, EngineTraits engine) {
        double bits = 8.0 * tokens * engine.tokenBytes();
        double megabits = Math.min(store.linkMegabits(), engine.linkMegabits());
        double localMillis = megabits > 0 ? bits / (megabits * BITS_PER_MEGABIT) * MILLIS_PER_SECOND : 0;
        return store.startLatencyMillis()
                + (store.domain().equals(domain) ? localMillis : localMillis * REMOTE_TRANSFER_FACTOR);
    }

    /**
     * Plans the fetches and saves of a prompt on an endpoint, and records the saves as requested.
     *
     * @param domain the endpoint's failure domain
     * @param heldPartCount number of parts at the beginning of the prompt that the endpoint holds; they are planned as
     *     fetches all the same, in case it evicts them meanwhile, but don't count as transfers
     * @param maySave whether parts that no store holds may be saved in a failure domain
     */
    public Optional<CachePlan> plan(
            PromptShape prompt,
            String salt,
            FailureDomain domain,
            int heldPartCount,
            Predicate<FailureDomain> maySave) {
        if (events.holders().isEmpty() || prompt.parts().size() < 2) {
            return Optional.empty();
        }
        ImmutableList.Builder<Optional<CachePlan.Source>> fetches = ImmutableList.builder();
        ImmutableList.Builder<Optional<NetworkAddress>> saves = ImmutableList.builder();
        long deadlineMillis = 0;
        List<PromptPart> shared = prompt.sharedParts();
        for (int index = 0; index < shared.size(); index++) {
            PromptPart part = shared.get(index);
            boolean isSession = index == shared.size() - 1;
            Optional<StoredParts> source = source(salt, part, Optional.of(domain));
            fetches.add(source.map(
                    stored -> new CachePlan.Source(stored.store().address(), stored.tokens(salt, part.id()))));
            if (index >= heldPartCount) {
                source.ifPresent(stored -> reserveLink(stored, part.tokens()));
            }
            Optional<StoredParts> target = target(salt, part, isSession, source, domain, maySave);
            target.ifPresent(stored -> {
                stored.beginSave(salt, part.id(), context.nowNanos());
                reserveLink(stored, part.tokens());
            });
            saves.add(target.map(stored -> stored.store().address()));
            if (source.isPresent()) {
                long end = source.get().clockMillisAt(context.nowNanos()) + FETCH_TIMEOUT.toMillis();
                deadlineMillis = deadlineMillis == 0 ? end : Math.min(deadlineMillis, end);
            }
        }
        fetches.add(Optional.empty());
        saves.add(Optional.empty());
        return Optional.of(new CachePlan(fetches.build(), saves.build(), deadlineMillis));
    }

    /** Each entry uses an equal share of a link, since requests are spread evenly over the entries. */
    private void reserveLink(StoredParts stored, int tokens) {
        double bits = 8.0 * tokens * tokenBytes;
        double seconds = bits
                / (stored.store().linkMegabits()
                        * BITS_PER_MEGABIT
                        / Math.max(1, entries.get().size()));
        if (Double.isFinite(seconds)) {
            stored.reserveLink((long) (seconds * NANOS_PER_SECOND), context.nowNanos());
        }
    }

    private boolean hasLinkCapacity(StoredParts stored, Duration maxWait) {
        return stored.linkWaitNanos(context.nowNanos()) < maxWait.toNanos();
    }

    private Optional<StoredParts> source(String salt, PromptPart part, Optional<FailureDomain> domain) {
        return events.holders().stream()
                .filter(stored -> stored.isFresh(context.nowNanos()))
                .filter(stored -> stored.tokens(salt, part.id()) >= part.tokens())
                .filter(stored -> hasLinkCapacity(stored, MAX_LINK_WAIT_FOR_FETCHES))
                .min(Comparator.comparingDouble(stored -> distance(stored.store(), domain)));
    }

    /** Orders local stores before remote ones, then those that begin a transfer quickly before slower ones. */
    private static double distance(CacheStore store, Optional<FailureDomain> domain) {
        boolean isRemote = domain.isPresent() && !store.domain().equals(domain.get());
        return (isRemote ? 1_000 : 0) + store.startLatencyMillis();
    }

    /**
     * Returns the store to save a part to. Parts that many sessions begin with are fetched all the time, so each
     * failure domain gets a copy in a quick store; the part of one session gets one copy, in a quick store if the part
     * is short.
     */
    private Optional<StoredParts> target(
            String salt,
            PromptPart part,
            boolean isSession,
            Optional<StoredParts> source,
            FailureDomain domain,
            Predicate<FailureDomain> maySave) {
        boolean isSaving =
                events.holders().stream().anyMatch(stored -> stored.isSaving(salt, part.id(), context.nowNanos()));
        boolean isHeldAnywhere =
                events.holders().stream().anyMatch(stored -> stored.tokens(salt, part.id()) >= part.tokens());
        if (isSaving || (isSession && isHeldAnywhere)) {
            return Optional.empty();
        }
        boolean preferQuick = !isSession || part.tokens() <= SHORT_PART_TOKENS;
        Optional<StoredParts> candidate = events.holders().stream()
                .filter(stored -> maySave.test(stored.store().domain()))
                .filter(stored -> stored.acceptsSaves(context.nowNanos()) && stored.hasFreeCapacity(part.tokens()))
                .filter(stored -> hasLinkCapacity(stored, MAX_LINK_WAIT_FOR_SAVES))
                .min(Comparator.comparingDouble((StoredParts stored) ->
                                preferQuick ? stored.store().startLatencyMillis() : sizeRank(stored))
                        .thenComparingDouble(stored -> distance(stored.store(), Optional.of(domain)))
                        .thenComparingInt(stored -> (stored.store().id().value() + part.id()).hashCode()));
        boolean isNearer = candidate.isPresent()
                && source.isPresent()
                && distance(candidate.get().store(), Optional.of(domain))
                        < distance(source.get().store(), Optional.of(domain));
        return source.isEmpty() || isNearer ? candidate : Optional.empty();
    }

    /** Orders stores of at least half the capacity of the largest one before the others. */
    private double sizeRank(StoredParts stored) {
        return stored.store().capacityTokens() >= maxCapacityTokens() / 2.0 ? 0 : 1;
    }

    private double maxCapacityTokens() {
        return events.holders().stream()
                .mapToLong(stored -> stored.store().capacityTokens())
                .max()
                .orElse(0);
    }

    /** Returns the configured stores. */
    ImmutableList<CacheStore> configuredStores() {
        return events.configuredStores();
    }

    private void requestList(StoredParts stored) {
        context.perform(new StoreCall.ListParts(stored.store()));
    }
}

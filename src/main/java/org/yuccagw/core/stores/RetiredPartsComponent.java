package org.yuccagw.core.stores;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.stream.Stream;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.deployment.CacheStore;
import org.yuccagw.core.follow.NamedWeightsComponent;
import org.yuccagw.core.id.StoreId;

/**
 * Frees parts in managed stores that were computed with weights which nothing runs any more.
 *
 * <p>Such a store drops nothing by itself. After a few namings it would be full of parts that no prompt can use, and
 * nothing new could be saved: after two namings on a played day 44 tokens a millisecond, a tenth of what the engines
 * read, were computed again though some engine had computed them before.
 *
 * <p>A store frees at once, whoever reads. A part is therefore freed only when no transfer of it can be under way:
 *
 * <ol>
 *   <li>Entries plan no fetch under older weights once newer ones were named {@link #OLD_FETCHES} ago.
 *   <li>A fetch that was planned before is thrown away by the engine after {@link StoresComponent#FETCH_TIME}.
 *   <li>An entry may have learned of the naming late, by {@link #LEARNED_WITHIN}.
 *   <li>All listed engines run the newer weights, so nothing could begin on the older ones in any case.
 * </ol>
 *
 * <p>One entry does this, the holder of the weights' duty, since it knows best what engines run. Two that did it at
 * once would do no harm: freeing what is gone changes nothing.
 *
 * <p>Example: version 2 is named at 20 s and all engines run it at 24 s. At 26.5 s the holder asks each store what it
 * holds, and frees what was computed with version 1.
 */
public final class RetiredPartsComponent implements ControlComponent {
    /** Loading all engines takes about as long; what runs on older weights later is an exception. */
    public static final Duration OLD_FETCHES = Duration.ofSeconds(3);

    /** The tightest bound of the platform on how late an entry may learn of a change. */
    static final Duration LEARNED_WITHIN = Duration.ofSeconds(2);

    static final Duration RETIRED_AFTER =
            OLD_FETCHES.plus(StoresComponent.FETCH_TIME).plus(LEARNED_WITHIN);

    private static final Duration LOOK = Duration.ofMillis(500);

    /** A store that gave no answer is asked again after this, since it may be away for seconds. */
    private static final Duration AGAIN = Duration.ofSeconds(2);

    private final BooleanSupplier mayAct;
    private final NamedWeightsComponent named;
    private final Function<String, OptionalLong> lowestRunning;
    private final StoresComponent stores;

    /** For each store, the versions below which nothing is left there, by model. */
    private final Map<StoreId, Map<String, Long>> cleaned = new HashMap<>();

    private final Set<StoreId> busy = new HashSet<>();
    private ControlContext context;

    private RetiredPartsComponent(
            BooleanSupplier mayAct,
            NamedWeightsComponent named,
            Function<String, OptionalLong> lowestRunning,
            StoresComponent stores) {
        this.mayAct = mayAct;
        this.named = named;
        this.lowestRunning = lowestRunning;
        this.stores = stores;
    }

    /**
     * The freeing by one entry.
     *
     * @param mayAct whether this entry is the one that frees
     * @param lowestRunning the lowest version of a model that any engine runs
     */
    public static RetiredPartsComponent of(
            BooleanSupplier mayAct,
            NamedWeightsComponent named,
            Function<String, OptionalLong> lowestRunning,
            StoresComponent stores) {
        return new RetiredPartsComponent(mayAct, named, lowestRunning, stores);
    }

    @Override
    public void start(ControlContext startContext) {
        context = startContext;
        context.after(LOOK, this::look);
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof StoreAnswer.Inspected inspected) {
            onInspected(inspected);
        } else if (event instanceof StoreAnswer.Freed freed) {
            onFreed(freed);
        }
    }

    private void look() {
        context.after(LOOK, this::look);
        if (!mayAct.getAsBoolean()) {
            cleaned.clear();
            return;
        }
        Map<String, Long> retired = retiredBelow();
        for (CacheStore store : stores.configured()) {
            boolean due = store.managed() && !retired.isEmpty() && !retired.equals(cleaned.get(store.id()));
            if (due && busy.add(store.id())) {
                context.perform(new StoreCall.Inspect(store));
            }
        }
    }

    /** For each model the version below which no part can be of use; models without older weights are left out. */
    private Map<String, Long> retiredBelow() {
        Map<String, Long> retired = new HashMap<>();
        for (String model : named.models()) {
            OptionalLong newest = named.newestOlderThan(model, RETIRED_AFTER, context.nowNanos());
            OptionalLong lowest = lowestRunning.apply(model);
            if (newest.isPresent() && lowest.isPresent()) {
                retired.put(model, Math.min(newest.getAsLong(), lowest.getAsLong()));
            }
        }
        return retired;
    }

    private void onInspected(StoreAnswer.Inspected inspected) {
        if (inspected.contents().isEmpty() || !mayAct.getAsBoolean()) {
            leaveForLater(inspected.store(), "no answer");
            return;
        }
        Map<String, Long> retired = retiredBelow();
        ImmutableList<PartName> useless = useless(inspected.contents().get(), retired);
        cleaned.put(inspected.store(), retired);
        if (useless.isEmpty()) {
            busy.remove(inspected.store());
            return;
        }
        long epoch = inspected.contents().get().epoch();
        context.perform(Decision.of("parts-freed")
                .with("store", inspected.store())
                .with("epoch", epoch)
                .with("parts", useless.size())
                .with("below", retired));
        stores.configured().stream()
                .filter(store -> store.id().equals(inspected.store()))
                .forEach(store -> context.perform(new StoreCall.FreeParts(store, epoch, useless)));
    }

    /** A partial part doesn't tell its model, so it has to be older than what counts as useless for every model. */
    private static ImmutableList<PartName> useless(StoreAnswer.Contents contents, Map<String, Long> retired) {
        long below = retired.values().stream().mapToLong(Long::longValue).min().orElse(0);
        Stream<PartName> held = contents.held().stream()
                .filter(part -> isOlder(part.salt(), retired.getOrDefault(part.model(), 0L)))
                .map(StoreAnswer.Change::name);
        Stream<PartName> partial = contents.partial().stream().filter(name -> isOlder(name.salt(), below));
        return Stream.concat(held, partial).collect(ImmutableList.toImmutableList());
    }

    private static boolean isOlder(String salt, long version) {
        OptionalLong madeWith = CacheSalt.versionOf(salt);
        return madeWith.isPresent() && madeWith.getAsLong() < version;
    }

    private void onFreed(StoreAnswer.Freed freed) {
        if (freed.done()) {
            busy.remove(freed.store());
        } else {
            cleaned.remove(freed.store());
            leaveForLater(freed.store(), freed.detail());
        }
    }

    private void leaveForLater(StoreId store, String reason) {
        context.perform(Decision.of("parts-not-freed").with("store", store).with("reason", reason));
        context.after(AGAIN, () -> busy.remove(store));
    }
}

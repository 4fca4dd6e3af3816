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
 * Frees parts in managed stores that were computed with weights that no engine runs any more.
 *
 * <p>Such a store evicts nothing by itself. After a few namings of weights it would be full of parts that no prompt can
 * use, and no new part could be saved: after two namings 44 tokens a millisecond, a tenth of what the engines prefill,
 * were recomputed although some engine had computed them before.
 *
 * <p>A store frees a part at once, even while it is being read. A part is therefore freed only when no transfer of it
 * can be in progress:
 *
 * <ol>
 *   <li>Entries plan no fetch of an older version once the newer version was named {@link #OLD_VERSION_FETCH_PERIOD}
 *       ago.
 *   <li>The engine discards a fetch that was planned before after {@link StoresComponent#FETCH_TIMEOUT}.
 *   <li>An entry may have learned of the naming late, by up to {@link #MAX_NAMING_DELAY}.
 *   <li>All listed engines run the newer weights, so no fetch of the older version can begin.
 * </ol>
 *
 * <p>One entry frees parts: the holder of the weights duty, since it has the most recent view of what engines run. Two
 * entries doing it at once would do no harm, because freeing a part that was freed before has no effect.
 *
 * <p>Example: version 2 is named at 20 s and all engines run it at 24 s. At 26.5 s the holder queries each store for
 * its contents and frees what was computed with version 1.
 */
public final class RetiredPartsComponent implements ControlComponent {
    /**
     * Loading all engines takes about as long; only in exceptional cases does an engine run the older weights for
     * longer.
     */
    public static final Duration OLD_VERSION_FETCH_PERIOD = Duration.ofSeconds(3);

    /** The tightest bound that the platform sets on the time within which an entry must learn of a change. */
    static final Duration MAX_NAMING_DELAY = Duration.ofSeconds(2);

    static final Duration RETIREMENT_DELAY =
            OLD_VERSION_FETCH_PERIOD.plus(StoresComponent.FETCH_TIMEOUT).plus(MAX_NAMING_DELAY);

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);

    /** Delay before a store that didn't answer is queried again; it may be unavailable for seconds. */
    private static final Duration RETRY_DELAY = Duration.ofSeconds(2);

    private final BooleanSupplier mayAct;
    private final NamedWeightsComponent named;
    private final Function<String, OptionalLong> lowestRunningVersion;
    private final StoresComponent stores;

    /** For each store and model, the version below which all parts were freed. */
    private final Map<StoreId, Map<String, Long>> freedBelow = new HashMap<>();

    private final Set<StoreId> storesInProgress = new HashSet<>();
    private ControlContext context;

    private RetiredPartsComponent(
            BooleanSupplier mayAct,
            NamedWeightsComponent named,
            Function<String, OptionalLong> lowestRunningVersion,
            StoresComponent stores) {
        this.mayAct = mayAct;
        this.named = named;
        this.lowestRunningVersion = lowestRunningVersion;
        this.stores = stores;
    }

    /**
     * Creates the component of one entry.
     *
     * @param mayAct whether this entry is the one that frees parts
     * @param named the named weights
     * @param lowestRunningVersion returns the lowest version of a model that any engine runs
     * @param stores the configured stores
     */
    public static RetiredPartsComponent of(
            BooleanSupplier mayAct,
            NamedWeightsComponent named,
            Function<String, OptionalLong> lowestRunningVersion,
            StoresComponent stores) {
        return new RetiredPartsComponent(mayAct, named, lowestRunningVersion, stores);
    }

    @Override
    public void start(ControlContext startContext) {
        context = startContext;
        context.after(CHECK_INTERVAL, this::check);
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof StoreAnswer.Inspected inspected) {
            onInspected(inspected);
        } else if (event instanceof StoreAnswer.Freed freed) {
            onFreed(freed);
        }
    }

    private void check() {
        context.after(CHECK_INTERVAL, this::check);
        if (!mayAct.getAsBoolean()) {
            freedBelow.clear();
            return;
        }
        Map<String, Long> retiredBelow = retiredBelow();
        for (CacheStore store : stores.configuredStores()) {
            boolean isDue =
                    store.managed() && !retiredBelow.isEmpty() && !retiredBelow.equals(freedBelow.get(store.id()));
            if (isDue && storesInProgress.add(store.id())) {
                context.perform(new StoreCall.Inspect(store));
            }
        }
    }

    /**
     * Returns for each model the version below which no part can be used. Models without older versions are left out.
     */
    private Map<String, Long> retiredBelow() {
        Map<String, Long> retiredBelow = new HashMap<>();
        for (String model : named.models()) {
            OptionalLong newest = named.newestOlderThan(model, RETIREMENT_DELAY);
            OptionalLong lowest = lowestRunningVersion.apply(model);
            if (newest.isPresent() && lowest.isPresent()) {
                retiredBelow.put(model, Math.min(newest.getAsLong(), lowest.getAsLong()));
            }
        }
        return retiredBelow;
    }

    private void onInspected(StoreAnswer.Inspected inspected) {
        if (inspected.contents().isEmpty() || !mayAct.getAsBoolean()) {
            retryLater(inspected.store(), "no answer");
            return;
        }
        Map<String, Long> retiredBelow = retiredBelow();
        ImmutableList<PartName> unusable = unusableParts(inspected.contents().get(), retiredBelow);
        freedBelow.put(inspected.store(), retiredBelow);
        if (unusable.isEmpty()) {
            storesInProgress.remove(inspected.store());
            return;
        }
        long epoch = inspected.contents().get().epoch();
        context.perform(Decision.of("parts-freed")
                .with("store", inspected.store())
                .with("epoch", epoch)
                .with("parts", unusable.size())
                .with("below", retiredBelow));
        stores.configuredStores().stream()
                .filter(store -> store.id().equals(inspected.store()))
                .forEach(store -> context.perform(new StoreCall.FreeParts(store, epoch, unusable)));
    }

    /**
     * Returns the parts that can't be used any more. The model of a partial part is unknown, so its version must be
     * below the limits of all models.
     */
    private static ImmutableList<PartName> unusableParts(
            StoreAnswer.Contents contents, Map<String, Long> retiredBelow) {
        long below =
                retiredBelow.values().stream().mapToLong(Long::longValue).min().orElse(0);
        Stream<PartName> held = contents.held().stream()
                .filter(part -> isOlder(part.salt(), retiredBelow.getOrDefault(part.model(), 0L)))
                .map(StoreAnswer.Change::name);
        Stream<PartName> partial = contents.partial().stream().filter(name -> isOlder(name.salt(), below));
        return Stream.concat(held, partial).collect(ImmutableList.toImmutableList());
    }

    private static boolean isOlder(String salt, long version) {
        OptionalLong partVersion = CacheSalt.versionOf(salt);
        return partVersion.isPresent() && partVersion.getAsLong() < version;
    }

    private void onFreed(StoreAnswer.Freed freed) {
        if (freed.done()) {
            storesInProgress.remove(freed.store());
        } else {
            freedBelow.remove(freed.store());
            retryLater(freed.store(), freed.detail());
        }
    }

    private void retryLater(StoreId store, String reason) {
        context.perform(Decision.of("parts-not-freed").with("store", store).with("reason", reason));
        context.after(RETRY_DELAY, () -> storesInProgress.remove(store));
    }
}

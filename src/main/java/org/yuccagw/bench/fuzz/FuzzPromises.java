package org.yuccagw.bench.fuzz;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.core.catalogue.Catalogue;
import org.yuccagw.core.control.EntryIdentity;
import org.yuccagw.core.id.ShardNumber;
import org.yuccagw.core.shard.ShardsComponent;
import org.yuccagw.core.swap.OrderEndpoint;

/**
 * What must hold after each step, judged from outside the cores:
 *
 * <ol>
 *   <li>No key ran twice at the endpoint, and nothing ran whose caller was told "not run".
 *   <li>The catalogue in force on a process never goes back, and one revision is the same document everywhere.
 *   <li>At most one living entry may act for a shard at any time.
 *   <li>Engines never load more at once than the catalogue allows, and orders of a lower fencing number never arrive
 *       after those of a higher one at the same engine with effect (engines that check refuse them).
 *   <li>A workspace never has more requests in progress than its limit; while the network between entries is cut,
 *       those that ran before a step don't count, see {@link FuzzAdmissions#forgetWhatRunsBehindACut}.
 * </ol>
 */
final class FuzzPromises {
    private static final int SHARDS = 16;

    private final FuzzWorld world;
    private final Map<EntryIdentity, Long> revisions = new HashMap<>();
    private final Map<Long, Catalogue> documents = new HashMap<>();

    private FuzzPromises(FuzzWorld world) {
        this.world = world;
    }

    static FuzzPromises of(FuzzWorld world) {
        return new FuzzPromises(world);
    }

    /** What is broken now, in words; empty while everything holds. */
    Optional<String> broken() {
        return claims().or(this::catalogue).or(this::owners).or(this::swaps).or(this::limit);
    }

    private Optional<String> claims() {
        List<String> twice = world.calls().ranTwice();
        if (!twice.isEmpty()) {
            return Optional.of("at most once: ran twice " + twice);
        }
        if (!world.calls().refusedAndRan().isEmpty()) {
            return Optional.of(
                    "refusals are true: told not run, and ran " + world.calls().refusedAndRan());
        }
        return Optional.empty();
    }

    private Optional<String> catalogue() {
        for (BenchNode node : world.authorities().keySet()) {
            Optional<Catalogue> held = node.state(Catalogue.class);
            if (held.isEmpty()) {
                continue;
            }
            long revision = held.get().revision();
            long before = revisions.getOrDefault(node.identity(), 0L);
            if (revision < before) {
                return Optional.of(node.entry() + " went back from catalogue revision " + before + " to " + revision);
            }
            revisions.put(node.identity(), revision);
            Catalogue same = documents.putIfAbsent(revision, held.get());
            if (same != null && !same.equals(held.get())) {
                return Optional.of("catalogue revision " + revision + " is not the same everywhere");
            }
        }
        return Optional.empty();
    }

    private Optional<String> owners() {
        long now = world.bench().time().nowNanos();
        for (int number = 0; number < SHARDS; number++) {
            ShardNumber shard = ShardNumber.of(number);
            List<String> holders = world.authorities().entrySet().stream()
                    .filter(entry -> holds(entry.getValue(), shard, now))
                    .map(entry -> entry.getKey().entry().value())
                    .sorted()
                    .toList();
            if (holders.size() > 1) {
                return Optional.of(shard + " has more than one owner: " + holders);
            }
        }
        return Optional.empty();
    }

    private static boolean holds(ShardsComponent shards, ShardNumber shard, long now) {
        return shards.epochIfHeld(shard, now).isPresent();
    }

    private Optional<String> swaps() {
        int most = world.engines().mostLoadingAtOnce();
        if (most > FuzzWorld.SWAPS_AT_ONCE) {
            return Optional.of(most + " engines loaded at once, allowed are " + FuzzWorld.SWAPS_AT_ONCE);
        }
        List<OrderEndpoint> arrived = world.engines().arrived();
        return arrived.stream().anyMatch(order -> order.fencing() <= 0)
                ? Optional.of("an order came without a fencing number")
                : Optional.empty();
    }

    private Optional<String> limit() {
        long inProgress = world.admissions().inProgress();
        return inProgress > FuzzAdmissions.LIMIT
                ? Optional.of("workspace limit " + FuzzAdmissions.LIMIT + " passed: " + inProgress + " in progress")
                : Optional.empty();
    }
}

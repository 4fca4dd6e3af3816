package org.yuccagw.core.cache;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.yuccagw.core.id.EndpointId;

/**
 * An index of the blocks that the replicas hold in their caches, as known locally. The index is a hint: an engine
 * decides itself which blocks it reuses.
 *
 * <p>The index has two sources: the cache events of the engines, which arrive late and may have gaps, and the answers
 * whose end this entry observed. A gap in the sequence numbers may hide an eviction. The state of the replica is then
 * stale, and only a share of its apparent prefix is relied on until a snapshot replaces the state.
 *
 * <p>An engine can reuse a block only together with all blocks before it. The reusable blocks of a prompt are therefore
 * a prefix, whose length is found by binary search. Removing a replica takes constant time: its number is retired, and
 * pairs with a retired number are removed when the table is rebuilt.
 */
public final class ReplicaIndex {
    /** Share of the apparent prefix that is assumed to be held by a replica whose state is stale. */
    public static final double STALE_PREFIX_SHARE = 0.5;

    private static final int MAX_HOLDERS = 8;
    private static final int PREFIX_CHECKS = 16;

    private final Map<EndpointId, Replica> byEndpoint = new HashMap<>();
    private final List<Replica> byNumber = new ArrayList<>();
    private final ArrayDeque<RetiredNumber> retiredNumbers = new ArrayDeque<>();
    private final BlockMultimap holders;

    private ReplicaIndex(int maxPairs) {
        this.holders = BlockMultimap.of(maxPairs, number -> byNumber.get(number) != null);
    }

    /** Returns an empty index that holds at most {@code maxPairs} pairs of block and replica. */
    public static ReplicaIndex of(int maxPairs) {
        return new ReplicaIndex(maxPairs);
    }

    /**
     * A cache event of an engine.
     *
     * @param sequence sequence number that the engine gave to the event
     * @param stored whether the blocks were stored; otherwise they were removed
     */
    public record Event(long sequence, boolean stored, List<BlockKey> blocks) {
        public Event {
            blocks = List.copyOf(blocks);
        }
    }

    /** Returns the number of pairs of block and replica. */
    public int pairs() {
        return holders.size();
    }

    /** Returns how many pairs were dropped because the index was full. */
    public long droppedPairs() {
        return holders.droppedPairs();
    }

    /** Returns the sequence number after which the next events of the endpoint must be read. */
    public long lastSequence(EndpointId endpoint) {
        Replica replica = byEndpoint.get(endpoint);
        return replica == null ? 0 : replica.sequence;
    }

    /** Returns whether events were missed since the last snapshot, so that the state of the endpoint may be wrong. */
    public boolean isStale(EndpointId endpoint) {
        Replica replica = byEndpoint.get(endpoint);
        return replica != null && replica.stale;
    }

    /** Adds blocks that the endpoint holds, as shown by a completed answer or an import. */
    public void addBlocks(EndpointId endpoint, List<BlockKey> blocks) {
        int number = getOrCreate(endpoint).number;
        for (BlockKey block : blocks) {
            holders.put(block, number);
        }
    }

    /**
     * Applies events of an endpoint.
     *
     * @return whether the state is stale because of a gap, so that a snapshot must be read
     */
    public boolean apply(EndpointId endpoint, long lastSequence, List<Event> events) {
        Replica replica = getOrCreate(endpoint);
        long expectedSequence = replica.sequence;
        for (Event event : events) {
            if (event.sequence() <= replica.sequence) {
                continue;
            }
            expectedSequence++;
            replica.stale |= event.sequence() != expectedSequence;
            expectedSequence = event.sequence();
            applyEvent(replica, event);
        }
        replica.stale |= lastSequence != expectedSequence;
        replica.sequence = Math.max(lastSequence, expectedSequence);
        return replica.stale;
    }

    /** Replaces the state of the endpoint by a snapshot. */
    public void replace(EndpointId endpoint, long sequence, List<BlockKey> blocks) {
        remove(endpoint);
        Replica replica = getOrCreate(endpoint);
        replica.sequence = sequence;
        replica.stale = false;
        addBlocks(endpoint, blocks);
    }

    /** Removes the state of an endpoint that was removed, was restarted or changed its weights. */
    public void remove(EndpointId endpoint) {
        Replica replica = byEndpoint.remove(endpoint);
        if (replica != null) {
            byNumber.set(replica.number, null);
            retiredNumbers.addLast(new RetiredNumber(replica.number, holders.rebuildCount()));
        }
    }

    /** Returns how many of the prompt's first blocks the endpoint seems to hold. */
    public int prefixBlocks(EndpointId endpoint, List<BlockKey> prompt) {
        Replica replica = byEndpoint.get(endpoint);
        return replica == null ? 0 : prefixBlocks(replica.number, prompt);
    }

    /**
     * Calls the action for a limited number of replicas that seem to hold a prefix of the prompt, those with the
     * longest prefixes first.
     *
     * <p>Checks the holders at the depth of the whole prompt and then at repeatedly halved depths down to the first
     * block, so that the cost doesn't grow with the number of replicas. A replica is found no later than one whose
     * prefix is half as long.
     */
    public void forEachHolder(List<BlockKey> prompt, Consumer<EndpointId> action) {
        List<Replica> found = new ArrayList<>(MAX_HOLDERS);
        for (int depth = prompt.size(); depth > 0 && found.size() < MAX_HOLDERS; depth /= 2) {
            holders.forEach(prompt.get(depth - 1), number -> {
                Replica replica = byNumber.get(number);
                if (replica != null && found.size() < MAX_HOLDERS && !found.contains(replica)) {
                    found.add(replica);
                }
            });
        }
        found.forEach(replica -> action.accept(replica.endpoint));
    }

    /**
     * Finds the length of the held prefix by binary search and then checks it at a few depths before its end.
     *
     * <p>Late events make gaps in the state: a removal that is read after the same blocks were stored again removes
     * them from the index, and a binary search that probes behind the gap would count blocks that can't be reused. If a
     * check finds a gap, the search is repeated before it.
     */
    private int prefixBlocks(int number, List<BlockKey> prompt) {
        int heldBlocks = heldPrefix(number, prompt, prompt.size() + 1);
        int step = Math.max(1, heldBlocks / PREFIX_CHECKS);
        for (int depth = step; depth < heldBlocks; depth += step) {
            if (!holders.contains(prompt.get(depth - 1), number)) {
                return heldPrefix(number, prompt, depth);
            }
        }
        return heldBlocks;
    }

    private int heldPrefix(int number, List<BlockKey> prompt, int notHeldDepth) {
        int heldBlocks = 0;
        int notHeld = notHeldDepth;
        while (notHeld - heldBlocks > 1) {
            int middle = (heldBlocks + notHeld) >>> 1;
            if (holders.contains(prompt.get(middle - 1), number)) {
                heldBlocks = middle;
            } else {
                notHeld = middle;
            }
        }
        return heldBlocks;
    }

    private void applyEvent(Replica replica, Event event) {
        for (BlockKey block : event.blocks()) {
            if (event.stored()) {
                holders.put(block, replica.number);
            } else {
                holders.remove(block, replica.number);
            }
        }
    }

    private Replica getOrCreate(EndpointId endpoint) {
        return byEndpoint.computeIfAbsent(endpoint, id -> {
            Replica replica = new Replica(id, allocateNumber());
            byNumber.set(replica.number, replica);
            return replica;
        });
    }

    /**
     * Returns an unused number. A retired number is reused only after a rebuild has removed all pairs that contain it.
     */
    private int allocateNumber() {
        RetiredNumber oldest = retiredNumbers.peekFirst();
        if (oldest != null && oldest.rebuildCount < holders.rebuildCount()) {
            return retiredNumbers.pollFirst().number;
        }
        byNumber.add(null);
        return byNumber.size() - 1;
    }

    private record RetiredNumber(int number, long rebuildCount) {}

    private static final class Replica {
        private final EndpointId endpoint;
        private final int number;
        private long sequence;
        private boolean stale;

        private Replica(EndpointId endpoint, int number) {
            this.endpoint = endpoint;
            this.number = number;
        }
    }
}

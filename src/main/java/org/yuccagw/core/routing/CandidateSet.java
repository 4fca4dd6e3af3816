package org.yuccagw.core.routing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.yuccagw.core.cache.BlockKey;
import org.yuccagw.core.cache.Rendezvous;
import org.yuccagw.core.endpoint.EndpointStatus;
import org.yuccagw.core.id.EndpointId;

/**
 * The endpoints of one pool that run one weight version and accept new requests. They are grouped so that the cost of
 * rendezvous hashing grows only slowly with their number.
 *
 * <p>A hash of its name assigns each endpoint to a group. To rank endpoints for a block, the groups are ranked first
 * and then the endpoints within the best groups, so for 1,250 endpoints about 70 hashes are computed. The number of
 * groups is a power of two and changes only when the size of the pool doubles or halves.
 */
final class CandidateSet {
    private static final int GROUP_SIZE = 32;

    private final ImmutableList<EndpointStatus> all;
    private final ImmutableMap<EndpointId, EndpointStatus> byId;
    private final List<List<Member>> groups = new ArrayList<>();

    private CandidateSet(List<EndpointStatus> endpoints) {
        this.all = ImmutableList.copyOf(endpoints);
        ImmutableMap.Builder<EndpointId, EndpointStatus> ids = ImmutableMap.builder();
        int groupCount = Math.max(1, Integer.highestOneBit(Math.max(1, endpoints.size() / GROUP_SIZE)));
        for (int i = 0; i < groupCount; i++) {
            groups.add(new ArrayList<>());
        }
        for (EndpointStatus endpoint : endpoints) {
            ids.put(endpoint.id(), endpoint);
            long nameHash = Rendezvous.nameHash(endpoint.id().value());
            groups.get((int) (nameHash & (groupCount - 1))).add(new Member(endpoint, nameHash));
        }
        this.byId = ids.buildOrThrow();
    }

    static CandidateSet of(List<EndpointStatus> endpoints) {
        return new CandidateSet(endpoints);
    }

    private record Member(EndpointStatus endpoint, long nameHash) {}

    ImmutableList<EndpointStatus> all() {
        return all;
    }

    int size() {
        return all.size();
    }

    Optional<EndpointStatus> find(EndpointId id) {
        return Optional.ofNullable(byId.get(id));
    }

    /** Returns up to {@code limit} endpoints with the highest rank for the block, best first. */
    List<EndpointStatus> preferred(BlockKey block, int limit) {
        List<EndpointStatus> ranked = new ArrayList<>(limit);
        long[] usedGroups = new long[groups.size()];
        while (ranked.size() < Math.min(limit, all.size())) {
            int group = bestUnusedGroup(block, usedGroups);
            addRanked(ranked, groups.get(group), block, limit);
            usedGroups[group] = 1;
        }
        return ranked;
    }

    private int bestUnusedGroup(BlockKey block, long[] usedGroups) {
        int best = -1;
        long bestWeight = Long.MIN_VALUE;
        for (int i = 0; i < groups.size(); i++) {
            long weight = Rendezvous.weight(i, block);
            if (usedGroups[i] == 0 && (best < 0 || weight > bestWeight)) {
                best = i;
                bestWeight = weight;
            }
        }
        return best;
    }

    private static void addRanked(List<EndpointStatus> ranked, List<Member> members, BlockKey block, int limit) {
        int start = ranked.size();
        long[] weights = new long[limit];
        for (Member member : members) {
            long weight = Rendezvous.weight(member.nameHash(), block);
            int position = ranked.size();
            while (position > start && weights[position - 1] < weight) {
                position--;
            }
            if (position >= limit) {
                continue;
            }
            if (ranked.size() == limit) {
                ranked.remove(limit - 1);
            }
            System.arraycopy(weights, position, weights, position + 1, limit - 1 - position);
            weights[position] = weight;
            ranked.add(position, member.endpoint());
        }
    }
}

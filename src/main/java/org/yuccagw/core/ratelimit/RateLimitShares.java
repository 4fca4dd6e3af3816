package org.yuccagw.core.ratelimit;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import org.yuccagw.core.fleet.EntryContact;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.notice.RateLimit;

/**
 * The entries that place requests on an endpoint, and how its rate limit is divided among them.
 *
 * <p>The limit is one for all, and an entry must be able to keep its part without asking anyone. Equal parts for all
 * would be of no use: 1.4 requests a second in eight parts is one request in 6 s at each, and as every part may begin
 * with a whole request, sixteen parts alone are more than the endpoint takes in 4 s. So:
 *
 * <ol>
 *   <li>In a mesh only as many entries have a part as the limit has whole requests a second, one at least. They are the
 *       first ones of the endpoint's failure domain in an order of their own for each endpoint; if nobody is there, of
 *       all. Others hardly send there, and their parts would be lost. All entries that know the same others choose the
 *       same ones, and one that comes or goes changes one of them.
 *   <li>Where leads place, the first lead of the endpoint's failure domain has three quarters, the second one, to which
 *       entries turn when the first one is silent, the rest.
 *   <li>Nobody else has a part.
 * </ol>
 *
 * <p>Invariant: while all know the same, the parts come to {@link #SHARE_OF_LIMIT} of the limit. When one entry more
 * believes that it has a part, they come to twice that at limits under 2 and to one and a half times or less above.
 *
 * <p>Example: of a limit of 1.4 one of three entries has 1.26 requests a second; of one of 12, each has 3.6.
 */
public final class RateLimitShares {
    /** The rest is for calls that don't wait for a part: state and orders of engines. */
    static final double SHARE_OF_LIMIT = 0.9;

    /** In requests a second; a smaller part would leave an endpoint idle while others have requests for it. */
    private static final double LEAST_PART = 1;

    private static final double PART_OF_FIRST_LEAD = 0.75;

    private final ImmutableList<EntryContact> mesh;
    private final ImmutableList<EntryId> leads;

    private RateLimitShares(List<EntryContact> mesh, List<EntryId> leads) {
        this.mesh = ImmutableList.copyOf(mesh);
        this.leads = ImmutableList.copyOf(leads);
    }

    /** Every entry places, and each of these may have a part. */
    public static RateLimitShares ofMesh(List<EntryContact> entries) {
        return new RateLimitShares(entries, List.of());
    }

    /** The leads of the endpoint's failure domain place, the first one first. */
    public static RateLimitShares ofLeads(List<EntryId> leads) {
        return new RateLimitShares(List.of(), leads);
    }

    /** It isn't known who places. */
    public static RateLimitShares nobody() {
        return new RateLimitShares(List.of(), List.of());
    }

    /** Requests a second that an entry may send to the endpoint, 0 if it has no part. */
    double partOf(EntryId entry, ListedEndpoint endpoint, RateLimit limit) {
        double all = limit.perSecond() * SHARE_OF_LIMIT;
        if (!leads.isEmpty()) {
            return all * shareOfLead(leads.indexOf(entry));
        }
        ImmutableList<EntryId> owners = owners(endpoint, limit);
        return owners.contains(entry) ? all / owners.size() : 0;
    }

    private static double shareOfLead(int place) {
        return switch (place) {
            case 0 -> PART_OF_FIRST_LEAD;
            case 1 -> 1 - PART_OF_FIRST_LEAD;
            default -> 0;
        };
    }

    /** The entries of a mesh that have a part, all of the same size. */
    ImmutableList<EntryId> owners(ListedEndpoint endpoint, RateLimit limit) {
        long parts = Math.max(1, (long) (limit.perSecond() / LEAST_PART));
        return near(endpoint).stream()
                .sorted(Comparator.comparingInt((EntryContact entry) -> order(entry.entry(), endpoint))
                        .thenComparing(EntryContact::entry))
                .limit(parts)
                .map(EntryContact::entry)
                .collect(ImmutableList.toImmutableList());
    }

    private List<EntryContact> near(ListedEndpoint endpoint) {
        List<EntryContact> near = mesh.stream()
                .filter(entry -> entry.domain().equals(endpoint.domain()))
                .toList();
        return near.isEmpty() ? mesh : near;
    }

    private static int order(EntryId entry, ListedEndpoint endpoint) {
        return Hashing.murmur3_32_fixed()
                .hashString(endpoint.id().value() + ' ' + entry.value(), StandardCharsets.UTF_8)
                .asInt();
    }
}

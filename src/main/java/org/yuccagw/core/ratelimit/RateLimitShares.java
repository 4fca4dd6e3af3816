package org.yuccagw.core.ratelimit;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.yuccagw.core.fleet.EntryContact;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.notice.RateLimit;

/**
 * The entries that place requests on an endpoint, and the division of its rate limit among them.
 *
 * <p>The limit applies to all entries together, and an entry must be able to keep its share without communication.
 * Equal shares for all entries don't work: a limit of 1.4 requests per second in eight shares permits each entry one
 * request in 6 s, and as every share may start with a whole request, sixteen shares alone exceed what the endpoint
 * accepts in 4 s. Therefore:
 *
 * <ol>
 *   <li>In a mesh, the number of entries with a share is the limit in whole requests per second, at least one. They are
 *       the first entries of the endpoint's failure domain, in a hash order that differs by endpoint; if the domain has
 *       no entry, they are taken from all entries. Entries of other domains seldom send there, so their shares would be
 *       wasted. All entries with the same view of the mesh select the same ones, and an entry that joins or leaves
 *       changes one of them.
 *   <li>Where leads place requests, the first lead of the endpoint's failure domain has three quarters of the limit.
 *       The second lead, to which entries turn when the first one is silent, has the rest.
 *   <li>No other entry has a share.
 * </ol>
 *
 * <p>Invariant: while all entries have the same view, the shares sum to {@link #SHARE_OF_LIMIT} of the limit. If one
 * additional entry assumes that it has a share, they sum to twice that at limits under 2, and to at most one and a half
 * times that at higher limits.
 *
 * <p>Example: of a limit of 1.4 requests per second one of three entries has 1.26; of a limit of 12 each has 3.6.
 */
public final class RateLimitShares {
    /**
     * The rest is reserved for calls that don't wait for a share: those for the state of engines and orders to them.
     */
    static final double SHARE_OF_LIMIT = 0.9;

    /**
     * In requests per second. A smaller share would leave an endpoint idle while other entries have requests for it.
     */
    private static final double MIN_SHARE_PER_SECOND = 1;

    private static final double FIRST_LEAD_SHARE = 0.75;

    private final ImmutableList<EntryContact> mesh;
    private final ImmutableList<EntryId> leads;

    private RateLimitShares(List<EntryContact> mesh, List<EntryId> leads) {
        this.mesh = ImmutableList.copyOf(mesh);
        this.leads = ImmutableList.copyOf(leads);
    }

    /** Returns the shares where every entry places requests, and each of the given ones may have a share. */
    public static RateLimitShares ofMesh(List<EntryContact> entries) {
        return new RateLimitShares(entries, List.of());
    }

    /** Returns the shares where the leads of the endpoint's failure domain place requests, the first lead first. */
    public static RateLimitShares ofLeads(List<EntryId> leads) {
        return new RateLimitShares(List.of(), leads);
    }

    /** Returns the shares where it isn't known which entries place requests. */
    public static RateLimitShares ofUnknownPlacers() {
        return new RateLimitShares(List.of(), List.of());
    }

    /** Returns the requests per second that an entry may send to the endpoint; 0 if it has no share. */
    double shareOf(EntryId entry, ListedEndpoint endpoint, RateLimit limit) {
        double sharedLimit = limit.perSecond() * SHARE_OF_LIMIT;
        if (!leads.isEmpty()) {
            return sharedLimit * leadShare(leads.indexOf(entry));
        }
        ImmutableList<EntryId> owners = shareOwners(endpoint, limit);
        return owners.contains(entry) ? sharedLimit / owners.size() : 0;
    }

    private static double leadShare(int rank) {
        return switch (rank) {
            case 0 -> FIRST_LEAD_SHARE;
            case 1 -> 1 - FIRST_LEAD_SHARE;
            default -> 0;
        };
    }

    /** Returns the entries of a mesh that have a share. All shares are equal. */
    ImmutableList<EntryId> shareOwners(ListedEndpoint endpoint, RateLimit limit) {
        long shareCount = Math.max(1, (long) (limit.perSecond() / MIN_SHARE_PER_SECOND));
        return ownersInOrder(endpoint).limit(shareCount).collect(ImmutableList.toImmutableList());
    }

    /** Returns the first entry of a mesh in the order in which they own shares of the endpoint's limit. */
    public Optional<EntryId> firstOwner(ListedEndpoint endpoint) {
        return ownersInOrder(endpoint).findFirst();
    }

    private Stream<EntryId> ownersInOrder(ListedEndpoint endpoint) {
        return eligibleEntries(endpoint).stream()
                .sorted(Comparator.comparingInt((EntryContact entry) -> hashOrder(entry.entry(), endpoint))
                        .thenComparing(EntryContact::entry))
                .map(EntryContact::entry);
    }

    private List<EntryContact> eligibleEntries(ListedEndpoint endpoint) {
        List<EntryContact> sameDomain = mesh.stream()
                .filter(entry -> entry.domain().equals(endpoint.domain()))
                .toList();
        return sameDomain.isEmpty() ? mesh : sameDomain;
    }

    private static int hashOrder(EntryId entry, ListedEndpoint endpoint) {
        return Hashing.murmur3_32_fixed()
                .hashString(endpoint.id().value() + ' ' + entry.value(), StandardCharsets.UTF_8)
                .asInt();
    }
}

package org.yuccagw.core.ratelimit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.core.control.EntryIdentity;
import org.yuccagw.core.fleet.EntryContact;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.SoftwareVersion;
import org.yuccagw.core.notice.RateLimit;

public class RateLimitSharesTest {
    private static final FailureDomain SAME_DOMAIN = FailureDomain.of("near");
    private static final FailureDomain OTHER_DOMAIN = FailureDomain.of("far");
    private static final NetworkAddress ANYWHERE = NetworkAddress.of("127.0.0.1", 9);
    private static final double TOLERANCE = 1e-9;

    private static List<EntryContact> entries(int sameDomain, int otherDomain) {
        List<EntryContact> entries = new ArrayList<>();
        for (int index = 0; index < sameDomain + otherDomain; index++) {
            entries.add(EntryContact.of(new EntryIdentity(
                    EntryId.of("entry-" + index),
                    1,
                    index < sameDomain ? SAME_DOMAIN : OTHER_DOMAIN,
                    ANYWHERE,
                    ANYWHERE,
                    ANYWHERE)));
        }
        return entries;
    }

    private static ListedEndpoint endpoint(String id) {
        return new ListedEndpoint(
                EndpointIncarnation.of(EndpointId.of(id), 1),
                ServiceName.of("service"),
                ANYWHERE,
                SAME_DOMAIN,
                SoftwareVersion.of("v1"),
                4,
                false,
                0,
                ImmutableMap.of(),
                0);
    }

    private static RateLimit limit(double perSecond) {
        return RateLimit.of(perSecond).orElseThrow();
    }

    private static double sum(
            RateLimitShares shares, List<EntryContact> entries, ListedEndpoint endpoint, RateLimit limit) {
        return entries.stream()
                .mapToDouble(entry -> shares.shareOf(entry.entry(), endpoint, limit))
                .sum();
    }

    @DataProvider
    public Object[][] limits() {
        return new Object[][] {{0.0}, {0.3}, {1.4}, {2.0}, {7.5}, {400.0}};
    }

    @Test(dataProvider = "limits")
    public void theSharesOfAMeshSumToLessThanTheLimit(double perSecond) {
        RateLimit limit = limit(perSecond);
        List<EntryContact> entries = entries(3, 5);
        double sum = sum(RateLimitShares.ofMesh(entries), entries, endpoint("e"), limit);
        assertEquals(sum, limit.perSecond() * RateLimitShares.SHARE_OF_LIMIT, TOLERANCE);
    }

    @Test(dataProvider = "limits")
    public void theSharesOfLeadsSumToLessThanTheLimit(double perSecond) {
        RateLimit limit = limit(perSecond);
        List<EntryContact> entries = entries(5, 0);
        RateLimitShares shares = RateLimitShares.ofLeads(
                entries.subList(0, 2).stream().map(EntryContact::entry).toList());
        assertEquals(
                sum(shares, entries, endpoint("e"), limit),
                limit.perSecond() * RateLimitShares.SHARE_OF_LIMIT,
                TOLERANCE);
    }

    // Eight shares of a sixth of a request per second each start with a whole request, which exceeds the limit.
    @Test
    public void aSmallLimitHasASingleShare() {
        List<EntryContact> entries = entries(8, 8);
        assertEquals(
                RateLimitShares.ofMesh(entries)
                        .shareOwners(endpoint("e"), limit(1.4))
                        .size(),
                1);
    }

    @Test
    public void entriesOfOtherFailureDomainsHaveAShareOnlyIfTheDomainHasNoEntry() {
        List<EntryContact> otherDomain = entries(0, 4);
        assertEquals(
                RateLimitShares.ofMesh(otherDomain)
                        .shareOwners(endpoint("e"), limit(9))
                        .size(),
                4);
        List<EntryContact> both = entries(3, 4);
        assertEquals(
                RateLimitShares.ofMesh(both)
                        .shareOwners(endpoint("e"), limit(9))
                        .size(),
                3);
    }

    @Test
    public void theLossOfAnEntryChangesAtMostOneOwner() {
        List<EntryContact> all = entries(8, 0);
        for (EntryContact removed : all) {
            List<EntryContact> rest =
                    all.stream().filter(entry -> !entry.equals(removed)).toList();
            Set<EntryId> both = new HashSet<>(RateLimitShares.ofMesh(all).shareOwners(endpoint("e"), limit(3)));
            both.addAll(RateLimitShares.ofMesh(rest).shareOwners(endpoint("e"), limit(3)));
            assertTrue(both.size() <= 4, both.toString());
        }
    }

    @Test
    public void differentEndpointsHaveDifferentShareOwners() {
        Set<EntryId> owners = new HashSet<>();
        for (int index = 0; index < 30; index++) {
            owners.addAll(RateLimitShares.ofMesh(entries(4, 4)).shareOwners(endpoint("e" + index), limit(1)));
        }
        assertEquals(owners.size(), 4);
    }

    @Test
    public void noEntryHasAShareIfThePlacingEntriesAreUnknown() {
        List<EntryContact> entries = entries(3, 0);
        assertEquals(sum(RateLimitShares.ofUnknownPlacers(), entries, endpoint("e"), limit(9)), 0, TOLERANCE);
    }
}

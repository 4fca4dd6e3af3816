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
import org.yuccagw.core.notice.RateLimit;

public class RateLimitSharesTest {
    private static final FailureDomain NEAR = FailureDomain.of("near");
    private static final FailureDomain FAR = FailureDomain.of("far");
    private static final NetworkAddress ANYWHERE = NetworkAddress.of("127.0.0.1", 9);
    private static final double EXACT = 1e-9;

    private static List<EntryContact> entries(int near, int far) {
        List<EntryContact> entries = new ArrayList<>();
        for (int index = 0; index < near + far; index++) {
            entries.add(EntryContact.of(new EntryIdentity(
                    EntryId.of("entry-" + index), 1, index < near ? NEAR : FAR, ANYWHERE, ANYWHERE, ANYWHERE)));
        }
        return entries;
    }

    private static ListedEndpoint endpoint(String id) {
        return new ListedEndpoint(
                EndpointIncarnation.of(EndpointId.of(id), 1),
                ServiceName.of("service"),
                ANYWHERE,
                NEAR,
                4,
                false,
                0,
                ImmutableMap.of());
    }

    private static RateLimit limit(double perSecond) {
        return RateLimit.of(perSecond).orElseThrow();
    }

    private static double sum(
            RateLimitShares shares, List<EntryContact> entries, ListedEndpoint endpoint, RateLimit limit) {
        return entries.stream()
                .mapToDouble(entry -> shares.partOf(entry.entry(), endpoint, limit))
                .sum();
    }

    @DataProvider
    public Object[][] limits() {
        return new Object[][] {{0.0}, {0.3}, {1.4}, {2.0}, {7.5}, {400.0}};
    }

    @Test(dataProvider = "limits")
    public void thePartsOfAMeshComeToLessThanTheLimit(double perSecond) {
        RateLimit limit = limit(perSecond);
        List<EntryContact> entries = entries(3, 5);
        double sum = sum(RateLimitShares.ofMesh(entries), entries, endpoint("e"), limit);
        assertEquals(sum, limit.perSecond() * RateLimitShares.SHARE_OF_LIMIT, EXACT);
    }

    @Test(dataProvider = "limits")
    public void thePartsOfLeadsComeToLessThanTheLimit(double perSecond) {
        RateLimit limit = limit(perSecond);
        List<EntryContact> entries = entries(5, 0);
        RateLimitShares shares = RateLimitShares.ofLeads(
                entries.subList(0, 2).stream().map(EntryContact::entry).toList());
        assertEquals(
                sum(shares, entries, endpoint("e"), limit), limit.perSecond() * RateLimitShares.SHARE_OF_LIMIT, EXACT);
    }

    // Parts of a sixth of a request a second each begin with a whole request: eight of them are more than is taken.
    @Test
    public void aSmallLimitIsOneEntrysPart() {
        List<EntryContact> entries = entries(8, 8);
        assertEquals(
                RateLimitShares.ofMesh(entries)
                        .owners(endpoint("e"), limit(1.4))
                        .size(),
                1);
    }

    @Test
    public void entriesOfOtherFailureDomainsHaveAPartOnlyWhereNobodyElseIs() {
        List<EntryContact> far = entries(0, 4);
        assertEquals(RateLimitShares.ofMesh(far).owners(endpoint("e"), limit(9)).size(), 4);
        List<EntryContact> both = entries(3, 4);
        assertEquals(
                RateLimitShares.ofMesh(both).owners(endpoint("e"), limit(9)).size(), 3);
    }

    @Test
    public void anEntryThatGoesChangesOneOwnerAtMost() {
        List<EntryContact> all = entries(8, 0);
        for (EntryContact gone : all) {
            List<EntryContact> rest =
                    all.stream().filter(entry -> !entry.equals(gone)).toList();
            Set<EntryId> both = new HashSet<>(RateLimitShares.ofMesh(all).owners(endpoint("e"), limit(3)));
            both.addAll(RateLimitShares.ofMesh(rest).owners(endpoint("e"), limit(3)));
            assertTrue(both.size() <= 4, both.toString());
        }
    }

    @Test
    public void differentEndpointsHaveDifferentOwners() {
        Set<EntryId> owners = new HashSet<>();
        for (int index = 0; index < 30; index++) {
            owners.addAll(RateLimitShares.ofMesh(entries(4, 4)).owners(endpoint("e" + index), limit(1)));
        }
        assertEquals(owners.size(), 4);
    }

    @Test
    public void whereNobodyIsKnownToPlaceNobodyHasAPart() {
        List<EntryContact> entries = entries(3, 0);
        assertEquals(sum(RateLimitShares.nobody(), entries, endpoint("e"), limit(9)), 0, EXACT);
    }
}

package org.yuccagw.core.peers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.Test;
import org.yuccagw.core.deployment.DomainRegions;
import org.yuccagw.core.fleet.EntryContact;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.Region;

public class DirectoryChoiceTest {
    private static final List<EntryContact> ENTRIES = ImmutableList.of(
            entry("a1", "a"),
            entry("a2", "a"),
            entry("b1", "b"),
            entry("b2", "b"),
            entry("c1", "c"),
            entry("c2", "c"),
            entry("d1", "d"));

    @Test
    public void callersReceiveTheEntriesOfTheirFailureDomain() {
        assertEquals(choose("b", 0), ImmutableList.of(ENTRIES.get(2), ENTRIES.get(3)));
    }

    // Guards against traffic between failure domains. When callers of a domain with one entry received all seven, six
    // of seven requests crossed domains.
    @Test
    public void aSingleEntryOfADomainIsListedWithAVaryingSecondEntry() {
        Set<EntryContact> others = new HashSet<>();
        for (int random = -3; random < 9; random++) {
            List<EntryContact> chosen = choose("d", random);
            assertEquals(chosen.size(), 2);
            assertEquals(chosen.get(0), ENTRIES.get(6));
            others.add(chosen.get(1));
        }
        assertEquals(others.size(), 6);
    }

    @Test
    public void allEntriesAreListedIfTheDomainIsUnknownOrHasNoEntry() {
        assertEquals(choose("e", 0), ENTRIES);
        assertEquals(DirectoryChoice.choose(ENTRIES, Optional.empty(), DomainRegions.UNKNOWN, 0), ENTRIES);
    }

    // Guards against requests that leave their region. A caller whose failure domain has one entry left received an
    // entry in another region, to which its request bodies must not be sent.
    @Test
    public void additionalEntriesAreInTheCallersRegion() {
        DomainRegions regions = new DomainRegions(ImmutableMap.of(
                FailureDomain.of("a"), Region.of("north"),
                FailureDomain.of("d"), Region.of("north"),
                FailureDomain.of("b"), Region.of("south"),
                FailureDomain.of("c"), Region.of("south"),
                FailureDomain.of("e"), Region.of("south"),
                FailureDomain.of("f"), Region.of("east")));
        for (int random = 0; random < 9; random++) {
            EntryContact other = choose("d", regions, random).get(1);
            assertEquals(other.domain(), FailureDomain.of("a"));
        }
        assertEquals(choose("e", regions, 0), ENTRIES.subList(2, 6));
        assertEquals(choose("f", regions, 0), ENTRIES);
    }

    private static List<EntryContact> choose(String domain, DomainRegions regions, int random) {
        return DirectoryChoice.choose(ENTRIES, Optional.of(FailureDomain.of(domain)), regions, random);
    }

    @Test
    public void theOnlyEntryOfTheFleetIsListedAlone() {
        List<EntryContact> single = ImmutableList.of(ENTRIES.get(0));
        assertEquals(
                DirectoryChoice.choose(single, Optional.of(FailureDomain.of("a")), DomainRegions.UNKNOWN, 5), single);
        assertTrue(
                DirectoryChoice.choose(ImmutableList.of(), Optional.of(FailureDomain.of("a")), DomainRegions.UNKNOWN, 5)
                        .isEmpty());
    }

    private static List<EntryContact> choose(String domain, int random) {
        return DirectoryChoice.choose(ENTRIES, Optional.of(FailureDomain.of(domain)), DomainRegions.UNKNOWN, random);
    }

    private static EntryContact entry(String name, String domain) {
        NetworkAddress address = NetworkAddress.of("127.0.0.1", 9);
        return new EntryContact(EntryId.of(name), 1, FailureDomain.of(domain), address, address, Optional.empty(), 100);
    }
}

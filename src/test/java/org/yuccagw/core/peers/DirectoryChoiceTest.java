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
import org.yuccagw.core.deployment.Regions;
import org.yuccagw.core.fleet.EntryContact;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.Region;

public class DirectoryChoiceTest {
    private static final List<EntryContact> SEVEN = ImmutableList.of(
            entry("a1", "a"),
            entry("a2", "a"),
            entry("b1", "b"),
            entry("b2", "b"),
            entry("c1", "c"),
            entry("c2", "c"),
            entry("d1", "d"));

    @Test
    public void callersAreToldOfTheEntriesOfTheirFailureDomain() {
        assertEquals(choose("b", 0), ImmutableList.of(SEVEN.get(2), SEVEN.get(3)));
    }

    // Callers of a failure domain with one entry were told of all seven, and six of seven requests crossed domains.
    @Test
    public void aLoneEntryIsNamedWithOneOtherThatChanges() {
        Set<EntryContact> others = new HashSet<>();
        for (int draw = -3; draw < 9; draw++) {
            List<EntryContact> chosen = choose("d", draw);
            assertEquals(chosen.size(), 2);
            assertEquals(chosen.get(0), SEVEN.get(6));
            others.add(chosen.get(1));
        }
        assertEquals(others.size(), 6);
    }

    @Test
    public void withoutAnEntryInTheDomainOrWithAnUnknownOneAllAreNamed() {
        assertEquals(choose("e", 0), SEVEN);
        assertEquals(DirectoryChoice.choose(SEVEN, Optional.empty(), Regions.UNKNOWN, 0), SEVEN);
    }

    // A caller whose failure domain has one entry left was named one in another region, to which its bodies may not go.
    @Test
    public void theOthersAreOfTheCallersRegion() {
        Regions regions = new Regions(ImmutableMap.of(
                FailureDomain.of("a"), Region.of("north"),
                FailureDomain.of("d"), Region.of("north"),
                FailureDomain.of("b"), Region.of("south"),
                FailureDomain.of("c"), Region.of("south"),
                FailureDomain.of("e"), Region.of("south"),
                FailureDomain.of("f"), Region.of("east")));
        for (int draw = 0; draw < 9; draw++) {
            EntryContact other = choose("d", regions, draw).get(1);
            assertEquals(other.domain(), FailureDomain.of("a"));
        }
        assertEquals(choose("e", regions, 0), SEVEN.subList(2, 6));
        assertEquals(choose("f", regions, 0), SEVEN);
    }

    private static List<EntryContact> choose(String domain, Regions regions, int draw) {
        return DirectoryChoice.choose(SEVEN, Optional.of(FailureDomain.of(domain)), regions, draw);
    }

    @Test
    public void theOnlyEntryIsNamedAlone() {
        List<EntryContact> one = ImmutableList.of(SEVEN.get(0));
        assertEquals(DirectoryChoice.choose(one, Optional.of(FailureDomain.of("a")), Regions.UNKNOWN, 5), one);
        assertTrue(DirectoryChoice.choose(ImmutableList.of(), Optional.of(FailureDomain.of("a")), Regions.UNKNOWN, 5)
                .isEmpty());
    }

    private static List<EntryContact> choose(String domain, int draw) {
        return DirectoryChoice.choose(SEVEN, Optional.of(FailureDomain.of(domain)), Regions.UNKNOWN, draw);
    }

    private static EntryContact entry(String name, String domain) {
        NetworkAddress anywhere = NetworkAddress.of("127.0.0.1", 9);
        return new EntryContact(EntryId.of(name), 1, FailureDomain.of(domain), anywhere, anywhere, 100);
    }
}

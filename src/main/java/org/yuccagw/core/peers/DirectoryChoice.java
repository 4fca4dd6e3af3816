package org.yuccagw.core.peers;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import org.yuccagw.core.deployment.Regions;
import org.yuccagw.core.fleet.EntryContact;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.Region;

/**
 * Which entries a caller is told of: those of its own failure domain, as long as there are enough of them.
 *
 * <p>Bytes between failure domains are dear, so callers stay in theirs. With a single entry left there a caller would
 * have no second address to turn to, so it gets one other entry beside it, a different one from answer to answer; with
 * none it gets all.
 *
 * <p>The others are those of the caller's region, as long as there are some: a request is sent out of its region by the
 * directory only if nobody there could take it.
 *
 * <p>Example: a failure domain with one entry beside three with two each. Its callers send half of their requests there
 * and a twelfth to each other entry; were they told of all seven, six of seven requests would cross domains.
 */
public final class DirectoryChoice {
    /** One address and another one for when that fails. */
    private static final int ENOUGH = 2;

    private static final int MOST = 64;

    private DirectoryChoice() {}

    /**
     * The entries to name, in no particular order.
     *
     * @param everywhere that take requests
     * @param domain of the caller
     * @param draw any number, another one for each answer
     */
    public static List<EntryContact> choose(
            List<EntryContact> everywhere, Optional<FailureDomain> domain, Regions regions, int draw) {
        List<EntryContact> serving = inRegion(everywhere, domain.flatMap(regions::of), regions);
        List<EntryContact> near = inDomain(serving, domain);
        if (near.size() >= ENOUGH) {
            return near.subList(0, Math.min(MOST, near.size()));
        }
        if (near.isEmpty() || serving.size() < ENOUGH) {
            return serving.subList(0, Math.min(MOST, serving.size()));
        }
        List<EntryContact> others =
                serving.stream().filter(entry -> !near.contains(entry)).toList();
        return ImmutableList.of(near.get(0), others.get(Math.floorMod(draw, others.size())));
    }

    private static List<EntryContact> inRegion(
            List<EntryContact> everywhere, Optional<Region> region, Regions regions) {
        List<EntryContact> inside = everywhere.stream()
                .filter(entry ->
                        region.isPresent() && regions.of(entry.domain()).equals(region))
                .toList();
        return inside.isEmpty() ? everywhere : inside;
    }

    private static List<EntryContact> inDomain(List<EntryContact> serving, Optional<FailureDomain> domain) {
        return serving.stream()
                .filter(entry -> domain.isPresent() && entry.domain().equals(domain.get()))
                .toList();
    }
}

package org.yuccagw.core.peers;

import java.util.List;
import java.util.Optional;
import org.yuccagw.core.fleet.EntryContact;
import org.yuccagw.core.id.FailureDomain;

/**
 * Which entries a caller is told of: those of its own failure domain, as long as there are enough of them.
 *
 * <p>Bytes between failure domains are dear, so callers stay in theirs. With a single entry left there a caller would
 * have no second address to turn to, so then it gets all.
 */
public final class DirectoryChoice {
    /** One address and another one for when that fails. */
    private static final int ENOUGH = 2;

    private static final int MOST = 64;

    private DirectoryChoice() {}

    /** The entries to name, in no particular order. */
    public static List<EntryContact> choose(List<EntryContact> serving, Optional<FailureDomain> domain) {
        List<EntryContact> near = serving.stream()
                .filter(entry -> domain.isPresent() && entry.domain().equals(domain.get()))
                .toList();
        List<EntryContact> chosen = near.size() >= ENOUGH ? near : serving;
        return chosen.subList(0, Math.min(MOST, chosen.size()));
    }
}

package org.yuccagw.core.peers;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.yuccagw.core.fleet.EntryContact;
import org.yuccagw.core.id.FailureDomain;

/**
 * The live entries of one failure domain, as reported by one of its leads.
 *
 * @param ageMillis time since a lead of the domain reported the roster; grows as leads of other domains forward it
 * @param digest hash of the members, by which a receiver recognizes a roster whose members it already has
 * @param members omitted if the receiver already has them
 */
public record Roster(FailureDomain domain, long ageMillis, long digest, Optional<ImmutableList<Member>> members) {
    /**
     * An entry that is alive.
     *
     * @param ready whether the entry takes new requests
     * @param heard whether the lead receives the entry's heartbeats itself; otherwise it only knows the entry from an
     *     earlier lead
     */
    public record Member(EntryContact contact, boolean ready, boolean heard) {}

    /** Creates a roster with its members and age zero. */
    public static Roster of(FailureDomain domain, List<Member> members) {
        ImmutableList<Member> sorted = ImmutableList.sortedCopyOf(
                Comparator.comparing((Member member) -> member.contact().entry()), members);
        return new Roster(domain, 0, digestOf(sorted), Optional.of(sorted));
    }

    /** Returns this roster at a later age, with or without its members. */
    Roster withAge(long newAgeMillis, boolean withMembers) {
        return new Roster(domain, newAgeMillis, digest, withMembers ? members : Optional.empty());
    }

    private static long digestOf(List<Member> members) {
        Hasher hasher = Hashing.murmur3_128().newHasher();
        for (Member member : members) {
            EntryContact contact = member.contact();
            hasher.putString(contact.entry().value(), StandardCharsets.UTF_8)
                    .putLong(contact.incarnation())
                    .putString(contact.callers().toString(), StandardCharsets.UTF_8)
                    .putInt(contact.capacity())
                    .putBoolean(member.ready())
                    .putBoolean(member.heard());
        }
        return hasher.hash().asLong();
    }
}

package org.yuccagw.core.peers;

import com.google.common.collect.ImmutableList;
import java.util.OptionalLong;
import org.yuccagw.core.port.PeerMessage;

/**
 * The heartbeat of a lead, sent to the entries of its failure domain and to the leads of the other domains.
 *
 * @param status the status of the lead itself
 * @param confirmedAgeMillis time since the key-value service confirmed, to any entry, the state up to the lead's
 *     revision; empty if it has never been confirmed
 * @param rosters the rosters of all failure domains for entries of the lead's domain, only that of the lead's domain
 *     for the leads of other domains
 */
public record DomainDigest(PeerStatus status, OptionalLong confirmedAgeMillis, ImmutableList<Roster> rosters)
        implements PeerMessage {}

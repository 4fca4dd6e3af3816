package org.yuccagw.core.claim;

import java.util.Optional;
import org.yuccagw.core.claim.ClaimPeerMessage.Decided;
import org.yuccagw.core.claim.ClaimPeerMessage.Decision;
import org.yuccagw.core.claim.ClaimPeerMessage.Ended;
import org.yuccagw.core.claim.ClaimPeerMessage.Lookup;
import org.yuccagw.core.claim.ClaimPeerMessage.Request;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.id.ShardNumber;

/**
 * The claims of a shard as its owner knew them when its lease expired. While the key-value service is unavailable
 * nobody can become the next owner, and nothing else is known of the keys.
 *
 * <p>It grants nothing. A record decides as it did before the loss, since records never change from ended to running. A
 * key without a record has not run if {@link ClaimShardHost#excludesOtherOwnerSince} no other entry has owned the shard
 * since; otherwise it isn't known.
 */
final class FormerClaimShard implements ShardClaims {
    private static final String REASON = "the key-value service does not answer";

    private final ShardNumber shard;
    private final FormerOwnership ownership;
    private final ClaimLog log;
    private final RecordDecider records;
    private final ClaimShardHost host;

    private FormerClaimShard(
            ShardNumber shard, FormerOwnership ownership, ClaimLog log, RecordDecider records, ClaimShardHost host) {
        this.shard = shard;
        this.ownership = ownership;
        this.log = log;
        this.records = records;
        this.host = host;
    }

    static FormerClaimShard of(
            ShardNumber shard, FormerOwnership ownership, ClaimLog log, RecordDecider records, ClaimShardHost host) {
        return new FormerClaimShard(shard, ownership, log, records, host);
    }

    /** Returns the fencing number of the ownership that ended. */
    long epoch() {
        return ownership.epoch();
    }

    @Override
    public void handleRequest(Request request) {
        Decision unclaimed = new Decision.Refused(ErrorKind.CLAIM_UNAVAILABLE, REASON);
        decide(request.record(), unclaimed);
    }

    @Override
    public void handleLookup(Lookup lookup) {
        decide(lookup.record(), new Decision.Unclaimed());
    }

    /** Keeps the end for answers to later requests. It isn't acknowledged, so the next owner will receive it too. */
    @Override
    public void handleEnded(Ended ended) {
        records.addEnd(ended);
    }

    private void decide(ClaimRecord requested, Decision unclaimed) {
        ClaimAttempt attempt = requested.attempt();
        host.send(attempt.entry(), new Decided(shard, attempt, decision(requested, unclaimed)));
    }

    private Decision decision(ClaimRecord requested, Decision unclaimed) {
        Optional<Decision> byOtherAttempt =
                records.decide(log, requested).filter(decision -> !(decision instanceof Decision.Granted));
        if (byOtherAttempt.isPresent()) {
            return byOtherAttempt.get();
        }
        return host.excludesOtherOwnerSince(shard, ownership) ? unclaimed : new Decision.Undecided(REASON);
    }
}

package org.yuccagw.core.claim;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.yuccagw.core.claim.ClaimPeerMessage.Decision;
import org.yuccagw.core.claim.ClaimPeerMessage.Ended;
import org.yuccagw.core.claim.ClaimPeerMessage.StatusQuery;
import org.yuccagw.core.claim.ClaimRecord.State;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.id.ShardNumber;

/**
 * Decides on requests whose key has a record, by the log of a shard and by what its owner knows beyond the log: how
 * attempts ended whose end isn't committed yet, and which attempts it refused although their claim may be committed.
 */
final class RecordDecider {
    private final ShardNumber shard;
    private final ClaimShardHost host;
    private final Map<ClaimAttempt, Ended> uncommittedEnds = new LinkedHashMap<>();
    private final Set<ClaimAttempt> refusedAttempts = new HashSet<>();

    private RecordDecider(ShardNumber shard, ClaimShardHost host) {
        this.shard = shard;
        this.host = host;
    }

    static RecordDecider of(ShardNumber shard, ClaimShardHost host) {
        return new RecordDecider(shard, host);
    }

    void addEnd(Ended ended) {
        uncommittedEnds.putIfAbsent(ended.attempt(), ended);
    }

    List<Ended> uncommittedEnds() {
        return List.copyOf(uncommittedEnds.values());
    }

    void removeEnd(Ended ended) {
        uncommittedEnds.remove(ended.attempt());
    }

    void addRefused(ClaimAttempt attempt) {
        refusedAttempts.add(attempt);
    }

    Set<ClaimAttempt> refusedAttempts() {
        return refusedAttempts;
    }

    /** Returns the decision by the record of the key; empty if no attempt with the key can have run. */
    Optional<Decision> decide(ClaimLog log, ClaimRecord requested) {
        return log.find(requested.key())
                .filter(record -> !isBeingReleased(record))
                .map(record -> decisionOn(withUncommittedEnd(record), requested));
    }

    private boolean isBeingReleased(ClaimRecord record) {
        Ended ended = uncommittedEnds.get(record.attempt());
        boolean notSent = ended != null && ended.outcome() == ClaimEnded.Outcome.NOT_SENT;
        return record.state() == State.RUNNING && (notSent || refusedAttempts.contains(record.attempt()));
    }

    /** Returns the record with its end if that isn't committed yet; such an end is final and may be sent in answers. */
    private ClaimRecord withUncommittedEnd(ClaimRecord record) {
        Ended ended = uncommittedEnds.get(record.attempt());
        if (ended == null || record.state() == State.ANSWERED) {
            return record;
        }
        boolean answered = ended.outcome() == ClaimEnded.Outcome.ANSWERED;
        return record.ended(answered ? State.ANSWERED : State.UNKNOWN, ended.answer());
    }

    private Decision decisionOn(ClaimRecord record, ClaimRecord requested) {
        if (!record.bodyHash().equals(requested.bodyHash())) {
            return new Decision.Refused(ErrorKind.KEY_REUSED, "");
        }
        boolean running = record.state() == State.RUNNING;
        if (running && record.attempt().equals(requested.attempt())) {
            return new Decision.Granted();
        }
        if (running && host.mayBeRunning(record.attempt())) {
            host.send(record.attempt().entry(), new StatusQuery(shard, record.key(), record.attempt()));
            return new Decision.Running(record.attempt().entry(), record.request());
        }
        if (record.answer().isPresent()) {
            return new Decision.Answered(record.answer().get());
        }
        return new Decision.Refused(ErrorKind.OUTCOME_UNKNOWN, "");
    }
}

package org.yuccagw.core.claim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.yuccagw.core.claim.ClaimHead.Segment;
import org.yuccagw.core.claim.ClaimLog.RolledSegment;
import org.yuccagw.core.claim.ClaimPeerMessage.Ask;
import org.yuccagw.core.claim.ClaimPeerMessage.Decided;
import org.yuccagw.core.claim.ClaimPeerMessage.EndRecorded;
import org.yuccagw.core.claim.ClaimPeerMessage.Ended;
import org.yuccagw.core.claim.ClaimPeerMessage.StillRunning;
import org.yuccagw.core.claim.ClaimPeerMessage.Verdict;
import org.yuccagw.core.claim.ClaimRecord.State;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.ShardNumber;
import org.yuccagw.core.port.KeyValueAnswer;
import org.yuccagw.core.port.KeyValueAnswer.Conflict;
import org.yuccagw.core.port.KeyValueAnswer.Found;
import org.yuccagw.core.port.KeyValueAnswer.Lost;
import org.yuccagw.core.port.KeyValueAnswer.Written;
import org.yuccagw.core.port.KeyValueCall;
import org.yuccagw.core.port.KeyValueCall.CompareAndSwap;
import org.yuccagw.core.port.KeyValueCall.Delete;
import org.yuccagw.core.port.KeyValueCall.ReadPrefix;

/**
 * The owner's side of claims for one shard: collects asks, commits them in groups, and decides.
 *
 * <p>Every decision to let a request run is the confirmed compare-and-swap of the shard's head document, from the
 * revision at which the key was absent to a head that holds the claim. The lease and the epoch only choose who
 * tries; a paused owner that wakes, or two owners at once, meet at the revision, and one of them reads the log
 * again. One commit is in flight at a time; what arrives meanwhile goes into the next.
 *
 * <p>What an answer to a commit, or its absence, means:
 *
 * <ol>
 *   <li>Written: the claims in it are granted, the ends in it acknowledged. No earlier commit on the same revision
 *       can take effect any more, so claims refused while one of those was in doubt are forgotten.
 *   <li>Conflict: the head is not what this owner knows. Another owner wrote it, or an earlier commit of this owner
 *       whose answer was lost. Which one does not matter: the log is read again, and each waiting ask is decided by
 *       what it holds. An ask finds its own record, and is granted, exactly if its commit took effect.
 *   <li>Refused: nothing happened. The asks are refused at once, as not run.
 *   <li>Lost, for the first time: the commit took effect, or not, or will later. Reading can't settle that, as the
 *       commit may land after the read. Another commit on the same revision does: only one of them can ever take
 *       effect, and then case 1 or 2 says which.
 *   <li>Lost again: the service is down. The asks are refused at once, as not run, which is true since their entries
 *       were not granted anything. Their attempts are remembered as refused: if the lost commit did land, the records
 *       are taken out by the next commit, and until then nobody is told that they run.
 *   <li>A lost commit lands after the owner lost the shard or died: the next owner finds a record whose entry never
 *       got a grant. When the key is asked for again it asks that entry, which says that it sent nothing; see
 *       {@link ClaimClient}. If that entry is dead too, the outcome stays unknown and the key never runs.
 *   <li>No answer at all within the longest wait: as lost. An answer after that is ignored.
 * </ol>
 *
 * <p>An end is acknowledged only by a confirmed commit that came after it, even if it changes nothing: an owner that
 * doesn't know yet that it was replaced must not make an entry forget how a run ended, since a later question about
 * the forgotten attempt would be answered with "sent nothing".
 */
final class ClaimShard {
    /** Claims' part of the writes a second that the platform grants, over all shards. */
    private static final int WRITES_PER_SECOND = 200;

    private static final Duration LONGEST_CALL = Duration.ofSeconds(3);
    private static final Duration END_DELAY = Duration.ofMillis(500);
    private static final Duration FIRST_BACKOFF = Duration.ofMillis(200);
    private static final Duration LONGEST_BACKOFF = Duration.ofSeconds(2);
    private static final int MOST_BATCH = 500;
    private static final int MOST_WAITING = 5_000;
    private static final int ROLL_BYTES = 64 * 1024;
    private static final int MOST_HEAD_BYTES = 900 * 1024;

    private final ShardNumber shard;
    private final long epoch;
    private final ClaimOwner owner;
    private final ControlContext context;
    private final LinkedHashMap<ClaimAttempt, Ask> waiting = new LinkedHashMap<>();
    private final LinkedHashMap<ClaimAttempt, Ended> ends = new LinkedHashMap<>();
    private final Set<ClaimAttempt> refused = new HashSet<>();

    private Optional<ClaimLog> log = Optional.empty();
    private Optional<RolledSegment> unnamed = Optional.empty();
    private boolean calling;
    private boolean unavailable;
    private boolean retired;
    private Optional<ControlContext.Timer> wake = Optional.empty();
    private long wakeNanos;
    private long callNumber;
    private long segmentNumber;
    private int failuresInARow;
    private long nextCommitNanos;
    private long endsDueNanos = Long.MAX_VALUE;

    ClaimShard(ShardNumber shard, long epoch, ClaimOwner owner, ControlContext context) {
        this.shard = shard;
        this.epoch = epoch;
        this.owner = owner;
        this.context = context;
        this.nextCommitNanos = context.nowNanos();
    }

    void start() {
        read();
    }

    /** The shard is lost: asks go to the next owner, answers to calls that still run are ignored. */
    void retire() {
        retired = true;
        sendElsewhere();
    }

    void ask(Ask ask) {
        if (!holdsLease()) {
            refuse(ask, ErrorKind.STALE_OWNER, shard.toString());
        } else if (waiting.size() >= MOST_WAITING) {
            refuse(ask, ErrorKind.CLAIM_UNAVAILABLE, "too many claims wait");
        } else if (!settled(ask)) {
            waiting.put(ask.wanted().attempt(), ask);
            pump();
        }
    }

    void ended(Ended ended) {
        waiting.remove(ended.attempt());
        ends.putIfAbsent(ended.attempt(), ended);
        endsDueNanos = Math.min(endsDueNanos, context.nowNanos() + END_DELAY.toNanos());
        pump();
    }

    /** Answers the ask if that needs no commit. */
    private boolean settled(Ask ask) {
        Optional<ClaimRecord> found =
                log.flatMap(present -> present.find(ask.wanted().key()));
        if (found.isPresent() && !isBeingFreed(found.get())) {
            decide(ask, verdict(withUncommittedEnd(found.get()), ask.wanted()));
            return true;
        }
        if (unavailable) {
            refuse(ask, ErrorKind.CLAIM_UNAVAILABLE, "the key-value service does not answer");
            return true;
        }
        return false;
    }

    /** An end that is not committed yet is true all the same, and may be told. */
    private ClaimRecord withUncommittedEnd(ClaimRecord record) {
        Ended ended = ends.get(record.attempt());
        if (ended == null || record.state() == State.ANSWERED) {
            return record;
        }
        boolean answered = ended.outcome() == ClaimEnded.Outcome.ANSWERED;
        return record.ended(answered ? State.ANSWERED : State.UNKNOWN, ended.answer());
    }

    private boolean isBeingFreed(ClaimRecord record) {
        Ended ended = ends.get(record.attempt());
        boolean notSent = ended != null && ended.outcome() == ClaimEnded.Outcome.NOT_SENT;
        return record.state() == State.RUNNING && (notSent || refused.contains(record.attempt()));
    }

    private Verdict verdict(ClaimRecord record, ClaimRecord wanted) {
        if (!record.bodyHash().equals(wanted.bodyHash())) {
            return new Verdict.Refused(ErrorKind.KEY_REUSED, "");
        }
        boolean running = record.state() == State.RUNNING;
        if (running && record.attempt().equals(wanted.attempt())) {
            return new Verdict.Granted();
        }
        if (running && owner.mayBeAlive(record.attempt())) {
            owner.send(record.attempt().entry(), new StillRunning(shard, record.key(), record.attempt()));
            return new Verdict.Running(record.attempt().entry(), record.request());
        }
        if (record.answer().isPresent()) {
            return new Verdict.Answered(record.answer().get());
        }
        return new Verdict.Refused(ErrorKind.OUTCOME_UNKNOWN, "");
    }

    private void decide(Ask ask, Verdict verdict) {
        ClaimAttempt attempt = ask.wanted().attempt();
        owner.send(attempt.entry(), new Decided(shard, attempt, verdict));
    }

    private void refuse(Ask ask, ErrorKind kind, String detail) {
        decide(ask, new Verdict.Refused(kind, detail));
    }

    private void refuseWaiting(String reason) {
        for (Ask ask : waiting.values()) {
            refuse(ask, ErrorKind.CLAIM_UNAVAILABLE, reason);
            refused.add(ask.wanted().attempt());
        }
        waiting.clear();
    }

    private void sendElsewhere() {
        waiting.values().forEach(ask -> refuse(ask, ErrorKind.STALE_OWNER, shard.toString()));
        waiting.clear();
    }

    /** Starts the next call if one is due and none runs. */
    private void pump() {
        if (calling || retired || unavailable || log.isEmpty()) {
            return;
        }
        waiting.values().removeIf(this::settled);
        long now = context.nowNanos();
        long due = waiting.isEmpty() && refused.isEmpty() ? endsDueNanos : now;
        if (ends.isEmpty() && due == endsDueNanos) {
            return;
        }
        long start = Math.max(due, nextCommitNanos);
        if (start > now) {
            wakeAt(start);
        } else {
            commit();
        }
    }

    private void wakeAt(long nanos) {
        if (wake.isPresent() && wakeNanos <= nanos) {
            return;
        }
        wake.ifPresent(ControlContext.Timer::cancel);
        wakeNanos = nanos;
        wake = Optional.of(context.after(Duration.ofNanos(nanos - context.nowNanos()), () -> {
            wake = Optional.empty();
            pump();
        }));
    }

    /** Says right before a call whether the lease still holds: guards against a pause since the last event. */
    private boolean holdsLease() {
        return owner.holds(shard, epoch);
    }

    private void read() {
        if (!holdsLease()) {
            sendElsewhere();
            retryLater();
            return;
        }
        call(new ReadPrefix(ClaimLog.prefix(shard)), answer -> {
            if (answer instanceof Found found) {
                takeLog(found);
            } else {
                fail("the key-value service does not answer");
            }
        });
    }

    private void takeLog(Found found) {
        try {
            ClaimLog fresh = ClaimLog.read(shard, epoch, found.items(), owner.codec());
            log = Optional.of(fresh);
            unavailable = false;
            failuresInARow = 0;
            pump();
        } catch (YuccagwException damaged) {
            fail(damaged.getMessage());
        }
    }

    private void commit() {
        if (!holdsLease()) {
            sendElsewhere();
            retryLater();
            return;
        }
        ClaimLog base = log.orElseThrow();
        ClaimLog.Draft draft = base.draft();
        List<Ended> endsInIt = List.copyOf(ends.values());
        endsInIt.forEach(draft::end);
        draft.release(refused);
        unnamed.ifPresent(draft::roll);
        draft.expire(owner.oldestWallMillis());
        List<Ask> asksInIt = waiting.values().stream().limit(MOST_BATCH).toList();
        asksInIt.forEach(ask -> draft.claim(ask.wanted().recordedAt(context.wallMillis())));
        byte[] document = owner.codec().encodeHead(draft.document());
        if (document.length > MOST_HEAD_BYTES) {
            refuseWaiting("the head of " + shard + " is full");
            retryLater();
            return;
        }
        nextCommitNanos =
                context.nowNanos() + owner.commitGap(WRITES_PER_SECOND).toNanos();
        long expected = owner.guards().expectedRevision().applyAsLong(base.headRevision());
        CompareAndSwap swap = new CompareAndSwap(ClaimLog.headKey(shard), expected, document, Optional.empty());
        Commit commit = new Commit(base, draft, asksInIt, endsInIt, document.length);
        call(swap, answer -> committed(commit, answer));
    }

    /** One commit in flight. */
    private record Commit(ClaimLog base, ClaimLog.Draft draft, List<Ask> asks, List<Ended> ends, int bytes) {}

    private void committed(Commit commit, KeyValueAnswer answer) {
        if (owner.guards().confirms().test(answer)) {
            long revision = answer instanceof Written written
                    ? written.revision()
                    : commit.base().headRevision();
            confirm(commit, revision);
        } else if (answer instanceof Conflict) {
            log = Optional.empty();
            unnamed = Optional.empty();
            unavailable = false;
            read();
        } else if (answer instanceof Lost && failuresInARow == 0) {
            failuresInARow++;
            commit();
        } else {
            fail("the key-value service does not answer");
        }
    }

    private void confirm(Commit commit, long revision) {
        ClaimLog present = commit.draft().committed(shard, revision, owner.oldestWallMillis());
        log = Optional.of(present);
        unavailable = false;
        failuresInARow = 0;
        refused.clear();
        unnamed = Optional.empty();
        for (Ended ended : commit.ends()) {
            ends.remove(ended.attempt());
            owner.send(ended.attempt().entry(), new EndRecorded(shard, ended.attempt()));
        }
        endsDueNanos = ends.isEmpty() ? Long.MAX_VALUE : context.nowNanos() + END_DELAY.toNanos();
        for (Ask ask : commit.asks()) {
            if (waiting.containsKey(ask.wanted().attempt()) && settled(ask)) {
                waiting.remove(ask.wanted().attempt());
            }
        }
        delete(commit);
        if (commit.bytes() > ROLL_BYTES) {
            roll(present);
        } else {
            pump();
        }
    }

    /** Deletes what the committed head names no more; a lost answer leaves an orphan for the next owner to delete. */
    private void delete(Commit commit) {
        List<String> names = new ArrayList<>(commit.draft().dropped());
        names.addAll(commit.base().orphans());
        for (String name : names) {
            commit.base()
                    .segmentRevision(name)
                    .ifPresent(revision -> context.call(new Delete(name, revision), ignored -> {}));
        }
    }

    /** Writes the ended records of the head to a segment; the next commit names it and drops them from the head. */
    private void roll(ClaimLog present) {
        List<ClaimRecord> records = present.rollable(owner::mayBeAlive);
        if (records.isEmpty() || !holdsLease()) {
            pump();
            return;
        }
        String name = present.segmentName(segmentNumber++);
        long newest = records.stream().mapToLong(ClaimRecord::wallMillis).max().orElseThrow();
        byte[] document = owner.codec().encodeSegment(records);
        CompareAndSwap write = new CompareAndSwap(name, KeyValueCall.ABSENT, document, Optional.empty());
        call(write, answer -> {
            if (answer instanceof Written written) {
                unnamed = Optional.of(new RolledSegment(new Segment(name, newest), written.revision(), records));
            }
            // Otherwise the head stays as it is and rolls after a later commit, under another name.
            pump();
        });
    }

    private void fail(String reason) {
        failuresInARow++;
        unavailable = true;
        refuseWaiting(reason);
        retryLater();
    }

    private void retryLater() {
        int doublings = Math.min(failuresInARow, 8);
        long wait = Math.min(LONGEST_BACKOFF.toNanos(), FIRST_BACKOFF.toNanos() << doublings);
        calling = true;
        context.after(Duration.ofNanos(wait), () -> {
            calling = false;
            if (retired) {
                return;
            }
            if (log.isEmpty()) {
                read();
            } else {
                commit();
            }
        });
    }

    private void call(KeyValueCall call, Consumer<KeyValueAnswer> continuation) {
        calling = true;
        long number = ++callNumber;
        ControlContext.Timer longest =
                context.after(LONGEST_CALL, () -> answered(number, new Lost("no answer in time"), continuation));
        context.call(call, answer -> {
            longest.cancel();
            answered(number, answer, continuation);
        });
    }

    private void answered(long number, KeyValueAnswer answer, Consumer<KeyValueAnswer> continuation) {
        if (number == callNumber && calling && !retired) {
            callNumber++;
            calling = false;
            continuation.accept(answer);
        }
    }
}

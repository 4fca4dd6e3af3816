package org.yuccagw.core.claim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.yuccagw.core.claim.ClaimHead.Segment;
import org.yuccagw.core.claim.ClaimLog.PendingSegment;
import org.yuccagw.core.claim.ClaimPeerMessage.Decided;
import org.yuccagw.core.claim.ClaimPeerMessage.Decision;
import org.yuccagw.core.claim.ClaimPeerMessage.EndRecorded;
import org.yuccagw.core.claim.ClaimPeerMessage.Ended;
import org.yuccagw.core.claim.ClaimPeerMessage.Lookup;
import org.yuccagw.core.claim.ClaimPeerMessage.Request;
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
 * The owner side of claims for one shard: collects claim requests, commits them in groups, and decides on them.
 *
 * <p>Every decision to let a request run is the confirmed compare-and-swap of the shard's head document from the
 * revision at which the key was absent to a head that contains the claim. The lease and the epoch only determine which
 * entry makes the attempt: if a suspended owner resumes, or two owners exist at once, the compare-and-swap of one of
 * them fails on the revision, and that owner reads the log again. One commit is in flight at a time; requests that
 * arrive during it are part of the next commit.
 *
 * <p>Meaning of the answer to a commit, or of its absence:
 *
 * <ol>
 *   <li>Written: the claims in the commit are granted, and the ends in it are acknowledged. No earlier commit on the
 *       same revision can take effect any more, so claims that were refused while the outcome of such a commit was
 *       unknown are discarded.
 *   <li>Conflict: the head differs from the local view. It was written by another owner, or by an earlier commit of
 *       this owner whose answer was lost. The two needn't be distinguished: the log is read again, and each waiting
 *       request is decided by its content. A request finds its own record, and is granted, exactly if its commit took
 *       effect.
 *   <li>Refused: the commit had no effect. The requests are refused at once, as not run: their keys have no record in
 *       the log, which no other entry can have changed while this one holds the lease.
 *   <li>Lost, for the first time: the commit took effect, or it didn't, or it will later. A read can't determine which,
 *       as the commit may take effect after the read. A second commit on the same revision can: at most one of the two
 *       ever takes effect, and the answer is then case 1 or 2.
 *   <li>Lost again: the service is down. The requests are refused at once, as not run, which is correct because their
 *       entries were not granted anything. Their attempts are recorded as refused: if the lost commit did take effect,
 *       the next commit removes their records, and until then no entry receives the answer that they are running.
 *   <li>A lost commit takes effect after the owner lost the shard or failed: the next owner finds a record whose entry
 *       was never granted the claim. When the key is requested again, the owner queries that entry, which answers
 *       NOT_SENT; see {@link ClaimClient}. If that entry has failed too, the outcome remains unknown and the key never
 *       runs.
 *   <li>No answer within the call timeout: treated as lost. An answer after that is ignored.
 * </ol>
 *
 * <p>A request is refused as not run only by an owner that has read the log and holds the lease. Otherwise an earlier
 * attempt with its key may have run, and the refusal says so.
 *
 * <p>An end is acknowledged only by a confirmed commit that came after it, even if the commit changes nothing.
 * Otherwise an owner that has been replaced without knowing it could make an entry discard how a run ended, and the
 * entry would answer a later query about the discarded attempt with NOT_SENT.
 */
final class ClaimShard implements ShardClaims {
    /** Share of the writes per second granted by the platform that claims may use, over all shards. */
    private static final int WRITES_PER_SECOND = 200;

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration END_COMMIT_DELAY = Duration.ofMillis(500);
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(200);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(2);
    private static final int MAX_REQUESTS_PER_COMMIT = 500;
    private static final int MAX_WAITING_REQUESTS = 5_000;
    private static final int SEGMENT_THRESHOLD_BYTES = 64 * 1024;
    private static final int MAX_HEAD_BYTES = 900 * 1024;

    private final ShardNumber shard;
    private final long epoch;
    private final ClaimShardHost host;
    private final ControlContext context;
    private final LinkedHashMap<ClaimAttempt, Request> waitingRequests = new LinkedHashMap<>();
    private final RecordDecider records;

    private Optional<ClaimLog> log = Optional.empty();
    private Optional<PendingSegment> pendingSegment = Optional.empty();
    private boolean callInProgress;
    private boolean unavailable;
    private boolean retired;
    private Optional<ControlContext.Timer> wakeTimer = Optional.empty();
    private long wakeNanos;
    private long callNumber;
    private long segmentNumber;
    private int consecutiveFailures;
    private long earliestCommitNanos;
    private long endsCommitNanos = Long.MAX_VALUE;

    ClaimShard(ShardNumber shard, long epoch, ClaimShardHost host, ControlContext context) {
        this.shard = shard;
        this.epoch = epoch;
        this.host = host;
        this.context = context;
        this.records = RecordDecider.of(shard, host);
        this.earliestCommitNanos = context.nowNanos();
    }

    void start() {
        read();
    }

    /**
     * Called when the shard is lost: requests are redirected to the next owner, and answers to pending calls are
     * ignored.
     */
    void retire() {
        retired = true;
        redirectWaiting();
    }

    /**
     * Returns what is known of the shard, for the time after its loss; empty if its log has not been read.
     *
     * @param ownership the ownership that ends now
     */
    Optional<FormerClaimShard> toFormer(FormerOwnership ownership) {
        return log.map(lastRead -> FormerClaimShard.of(shard, ownership, lastRead, records, host));
    }

    @Override
    public void handleRequest(Request request) {
        if (!holdsLease()) {
            refuse(request, ErrorKind.STALE_OWNER, shard.toString());
        } else if (waitingRequests.size() >= MAX_WAITING_REQUESTS) {
            refuseNow(request, "too many claims wait");
        } else if (!decideWithoutCommit(request)) {
            waitingRequests.put(request.record().attempt(), request);
            startNextCall();
        }
    }

    @Override
    public void handleLookup(Lookup lookup) {
        Decision decision;
        if (!holdsLease()) {
            decision = new Decision.Refused(ErrorKind.STALE_OWNER, shard.toString());
        } else {
            decision = log.map(
                            current -> records.decide(current, lookup.record()).orElseGet(Decision.Unclaimed::new))
                    .orElseGet(() -> new Decision.Undecided("the claims of the shard are not read yet"));
        }
        decide(lookup.record().attempt(), decision);
    }

    @Override
    public void handleEnded(Ended ended) {
        waitingRequests.remove(ended.attempt());
        records.addEnd(ended);
        endsCommitNanos = Math.min(endsCommitNanos, context.nowNanos() + END_COMMIT_DELAY.toNanos());
        startNextCall();
    }

    /** Decides on the request if that requires no commit; returns whether it has been decided. */
    private boolean decideWithoutCommit(Request request) {
        Optional<Decision> byRecord = decisionByRecord(request);
        if (byRecord.isPresent()) {
            decide(request, byRecord.get());
            return true;
        }
        if (unavailable) {
            refuseNow(request, "the key-value service does not answer");
            return true;
        }
        return false;
    }

    private Optional<Decision> decisionByRecord(Request request) {
        return log.flatMap(current -> records.decide(current, request.record()));
    }

    private void decide(Request request, Decision decision) {
        decide(request.record().attempt(), decision);
    }

    private void decide(ClaimAttempt attempt, Decision decision) {
        host.send(attempt.entry(), new Decided(shard, attempt, decision));
    }

    /** Refuses a request for now, by the record of its key if there is one of another attempt. */
    private void refuseNow(Request request, String reason) {
        boolean logIsCurrent = log.isPresent() && holdsLease();
        Decision unclaimed = logIsCurrent
                ? new Decision.Refused(ErrorKind.CLAIM_UNAVAILABLE, reason)
                : new Decision.Undecided(reason);
        Optional<Decision> byOtherAttempt =
                decisionByRecord(request).filter(decision -> !(decision instanceof Decision.Granted));
        decide(request, byOtherAttempt.orElse(unclaimed));
    }

    private void refuse(Request request, ErrorKind kind, String detail) {
        decide(request, new Decision.Refused(kind, detail));
    }

    private void refuseWaiting(String reason) {
        for (Request request : waitingRequests.values()) {
            refuseNow(request, reason);
            records.addRefused(request.record().attempt());
        }
        waitingRequests.clear();
    }

    private void redirectWaiting() {
        waitingRequests.values().forEach(request -> refuse(request, ErrorKind.STALE_OWNER, shard.toString()));
        waitingRequests.clear();
    }

    /** Starts the next call if one is due and none is in progress. */
    private void startNextCall() {
        if (callInProgress || retired || unavailable || log.isEmpty()) {
            return;
        }
        waitingRequests.values().removeIf(this::decideWithoutCommit);
        long now = context.nowNanos();
        long due = waitingRequests.isEmpty() && records.refusedAttempts().isEmpty() ? endsCommitNanos : now;
        if (records.uncommittedEnds().isEmpty() && due == endsCommitNanos) {
            return;
        }
        long start = Math.max(due, earliestCommitNanos);
        if (start > now) {
            scheduleWake(start);
        } else {
            commit();
        }
    }

    private void scheduleWake(long nanos) {
        if (wakeTimer.isPresent() && wakeNanos <= nanos) {
            return;
        }
        wakeTimer.ifPresent(ControlContext.Timer::cancel);
        wakeNanos = nanos;
        wakeTimer = Optional.of(context.after(Duration.ofNanos(nanos - context.nowNanos()), () -> {
            wakeTimer = Optional.empty();
            startNextCall();
        }));
    }

    /**
     * Checks immediately before a call whether the lease is valid: guards against a suspension since the last event.
     */
    private boolean holdsLease() {
        return host.holdsLease(shard, epoch);
    }

    private void read() {
        if (!holdsLease()) {
            redirectWaiting();
            retryLater();
            return;
        }
        call(new ReadPrefix(ClaimLog.prefix(shard)), answer -> {
            if (answer instanceof Found found) {
                handleLog(found);
            } else {
                fail("the key-value service does not answer");
            }
        });
    }

    private void handleLog(Found found) {
        try {
            ClaimLog readLog = ClaimLog.read(shard, epoch, found.items(), host.codec());
            log = Optional.of(readLog);
            unavailable = false;
            consecutiveFailures = 0;
            startNextCall();
        } catch (YuccagwException damaged) {
            fail(damaged.getMessage());
        }
    }

    private void commit() {
        if (!holdsLease()) {
            redirectWaiting();
            retryLater();
            return;
        }
        ClaimLog base = log.orElseThrow();
        ClaimLog.Draft draft = base.draft();
        List<Ended> endsInCommit = records.uncommittedEnds();
        endsInCommit.forEach(draft::end);
        draft.release(records.refusedAttempts());
        pendingSegment.ifPresent(draft::moveToSegment);
        draft.expire(host.oldestRetainedWallMillis());
        List<Request> requestsInCommit =
                waitingRequests.values().stream().limit(MAX_REQUESTS_PER_COMMIT).toList();
        requestsInCommit.forEach(request -> draft.claim(request.record().recordedAt(context.wallMillis())));
        byte[] document = host.codec().encodeHead(draft.document());
        if (document.length > MAX_HEAD_BYTES) {
            refuseWaiting("the head of " + shard + " is full");
            retryLater();
            return;
        }
        earliestCommitNanos =
                context.nowNanos() + host.minCommitInterval(WRITES_PER_SECOND).toNanos();
        long expected = host.guards().expectedRevision().applyAsLong(base.headRevision());
        CompareAndSwap compareAndSwap =
                new CompareAndSwap(ClaimLog.headKey(shard), expected, document, Optional.empty());
        Commit commit = new Commit(base, draft, requestsInCommit, endsInCommit, document.length);
        call(compareAndSwap, answer -> handleCommitAnswer(commit, answer));
    }

    /** One commit in flight. */
    private record Commit(ClaimLog base, ClaimLog.Draft draft, List<Request> requests, List<Ended> ends, int bytes) {}

    private void handleCommitAnswer(Commit commit, KeyValueAnswer answer) {
        if (host.guards().confirms().test(answer)) {
            long revision = answer instanceof Written written
                    ? written.revision()
                    : commit.base().headRevision();
            confirm(commit, revision);
        } else if (answer instanceof Conflict) {
            log = Optional.empty();
            pendingSegment = Optional.empty();
            unavailable = false;
            read();
        } else if (answer instanceof Lost && consecutiveFailures == 0) {
            consecutiveFailures++;
            commit();
        } else {
            fail("the key-value service does not answer");
        }
    }

    private void confirm(Commit commit, long revision) {
        ClaimLog current = commit.draft().committed(shard, revision, host.oldestRetainedWallMillis());
        log = Optional.of(current);
        unavailable = false;
        consecutiveFailures = 0;
        records.refusedAttempts().clear();
        pendingSegment = Optional.empty();
        for (Ended ended : commit.ends()) {
            records.removeEnd(ended);
            host.send(ended.attempt().entry(), new EndRecorded(shard, ended.attempt()));
        }
        boolean noEndsLeft = records.uncommittedEnds().isEmpty();
        endsCommitNanos = noEndsLeft ? Long.MAX_VALUE : context.nowNanos() + END_COMMIT_DELAY.toNanos();
        for (Request request : commit.requests()) {
            if (waitingRequests.containsKey(request.record().attempt()) && decideWithoutCommit(request)) {
                waitingRequests.remove(request.record().attempt());
            }
        }
        delete(commit);
        if (commit.bytes() > SEGMENT_THRESHOLD_BYTES) {
            writeSegment(current);
        } else {
            startNextCall();
        }
    }

    /**
     * Deletes the segments that the committed head no longer references. A deletion that fails leaves an orphan, which
     * the next owner deletes.
     */
    private void delete(Commit commit) {
        List<String> obsoleteSegments = new ArrayList<>(commit.draft().droppedSegments());
        obsoleteSegments.addAll(commit.base().orphans());
        for (String name : obsoleteSegments) {
            commit.base()
                    .segmentRevision(name)
                    .ifPresent(revision -> context.call(new Delete(name, revision), ignored -> {}));
        }
    }

    /**
     * Writes the ended records of the head to a segment; the next commit references it and removes them from the head.
     */
    private void writeSegment(ClaimLog current) {
        List<ClaimRecord> records = current.recordsForSegment(host::mayBeRunning);
        if (records.isEmpty() || !holdsLease()) {
            startNextCall();
            return;
        }
        String name = current.segmentName(segmentNumber++);
        long newest = records.stream().mapToLong(ClaimRecord::wallMillis).max().orElseThrow();
        byte[] document = host.codec().encodeSegment(records);
        CompareAndSwap write = new CompareAndSwap(name, KeyValueCall.ABSENT, document, Optional.empty());
        call(write, answer -> {
            if (answer instanceof Written written) {
                pendingSegment =
                        Optional.of(new PendingSegment(new Segment(name, newest), written.revision(), records));
            }
            // Otherwise the head is unchanged, and a later commit moves the records to a segment with another name.
            startNextCall();
        });
    }

    private void fail(String reason) {
        consecutiveFailures++;
        unavailable = true;
        refuseWaiting(reason);
        retryLater();
    }

    private void retryLater() {
        int doublings = Math.min(consecutiveFailures, 8);
        long wait = Math.min(MAX_BACKOFF.toNanos(), INITIAL_BACKOFF.toNanos() << doublings);
        callInProgress = true;
        context.after(Duration.ofNanos(wait), () -> {
            callInProgress = false;
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
        callInProgress = true;
        long number = ++callNumber;
        ControlContext.Timer timeout =
                context.after(CALL_TIMEOUT, () -> handleAnswer(number, new Lost("no answer in time"), continuation));
        context.call(call, answer -> {
            timeout.cancel();
            handleAnswer(number, answer, continuation);
        });
    }

    private void handleAnswer(long number, KeyValueAnswer answer, Consumer<KeyValueAnswer> continuation) {
        if (number == callNumber && callInProgress && !retired) {
            callNumber++;
            callInProgress = false;
            continuation.accept(answer);
        }
    }
}

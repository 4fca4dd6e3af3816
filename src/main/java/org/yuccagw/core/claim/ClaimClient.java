package org.yuccagw.core.claim;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.yuccagw.core.claim.ClaimDecision.KeptAnswer;
import org.yuccagw.core.claim.ClaimEnded.Outcome;
import org.yuccagw.core.claim.ClaimPeerMessage.Decided;
import org.yuccagw.core.claim.ClaimPeerMessage.Decision;
import org.yuccagw.core.claim.ClaimPeerMessage.EndRecorded;
import org.yuccagw.core.claim.ClaimPeerMessage.Ended;
import org.yuccagw.core.claim.ClaimPeerMessage.Lookup;
import org.yuccagw.core.claim.ClaimPeerMessage.Request;
import org.yuccagw.core.claim.ClaimPeerMessage.StatusQuery;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.ShardNumber;

/**
 * The client side of claims on one entry: sends claim requests to the owners of the shards, and tracks each attempt
 * until its end is recorded in the log.
 *
 * <p>An attempt is in one of three states: it waits for a decision, it holds the claim, or its end waits to be
 * recorded. Only an attempt that holds the claim may be sent to an endpoint. An attempt in none of these states was
 * refused on this entry, or its end is recorded. In both cases a record in the state RUNNING can only belong to a claim
 * that was never granted to traffic. Therefore the answer to {@link StatusQuery} about an unknown attempt of this
 * process is NOT_SENT.
 *
 * <p>An attempt that is abandoned before it was decided ends with NOT_SENT, so that the key can be claimed again if the
 * owner recorded the claim nevertheless.
 */
final class ClaimClient {
    private static final Duration REQUEST_RESEND_INTERVAL = Duration.ofMillis(300);
    private static final Duration DECISION_TIMEOUT = Duration.ofMillis(2500);
    private static final Duration END_RESEND_INTERVAL = Duration.ofSeconds(1);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final int MAX_UNRECORDED_ENDS = 10_000;
    private static final int MAX_ENDS_PER_RESEND = 100;
    private static final int MAX_RETAINED_ANSWER_BYTES = 4 * 1024;

    private final ControlContext context;
    private final OwnerResolver ownerResolver;
    private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
    private final Set<Claim> pendingClaims = new HashSet<>();
    private final Map<Claim, Long> heldClaims = new HashMap<>();
    private final LinkedHashMap<Long, Ended> unrecordedEnds = new LinkedHashMap<>();
    private long nextNumber = 1;
    private long highestDiscardedNumber;
    private boolean resendScheduled;

    ClaimClient(ControlContext context, OwnerResolver ownerResolver) {
        this.context = context;
        this.ownerResolver = ownerResolver;
    }

    /** Resolves the owners of shards and sends messages to them. */
    interface OwnerResolver {
        /** Returns the shard of a key; empty before the number of shards is known. */
        Optional<ShardNumber> shardOf(ClaimKey key);

        /** Returns the owner of a shard in the local view. */
        Optional<EntryId> ownerOf(ShardNumber shard);

        void send(EntryId to, ClaimPeerMessage message);
    }

    private record PendingRequest(
            ShardNumber shard, Claim claim, ClaimRecord record, boolean lookup, Consumer<ClaimDecision> reply) {
        ClaimPeerMessage message() {
            return lookup ? new Lookup(shard, record) : new Request(shard, record);
        }
    }

    void onClaimRequested(ClaimRequested requested) {
        Claim claim = requested.claim();
        if (isPendingOrHeld(claim)) {
            answer(requested.reply(), new ClaimDecision.Running(claim.entry(), claim.request()));
        } else {
            askOwner(claim, false, requested.reply());
        }
    }

    void onLookupRequested(ClaimLookupRequested requested) {
        askOwner(requested.claim(), true, requested.reply());
    }

    /** Sends a request or a lookup to the owner of the key's shard; answers it if there is none. */
    private void askOwner(Claim claim, boolean lookup, Consumer<ClaimDecision> reply) {
        Optional<ShardNumber> shard = ownerResolver.shardOf(ClaimKey.of(claim));
        if (shard.isEmpty() || ownerResolver.ownerOf(shard.get()).isEmpty()) {
            answer(reply, undecided("the shard of the key has no owner now"));
            return;
        }
        long number = nextNumber++;
        ClaimRecord record = ClaimRecord.running(claim, attempt(number), context.wallMillis());
        pendingRequests.put(number, new PendingRequest(shard.get(), claim, record, lookup, reply));
        if (!lookup) {
            pendingClaims.add(claim);
        }
        sendRequest(number);
        context.after(DECISION_TIMEOUT, () -> abandon(number, "the owner of the shard did not answer"));
    }

    /** Whether the same claim, with the same request identifier, is already pending or held. */
    private boolean isPendingOrHeld(Claim claim) {
        return heldClaims.containsKey(claim) || pendingClaims.contains(claim);
    }

    private ClaimAttempt attempt(long number) {
        return new ClaimAttempt(context.self().entry(), context.self().incarnation(), number);
    }

    private void sendRequest(long number) {
        PendingRequest request = pendingRequests.get(number);
        if (request == null) {
            return;
        }
        Optional<EntryId> owner = ownerResolver.ownerOf(request.shard());
        if (owner.isEmpty()) {
            abandon(number, "the shard of the key has no owner now");
            return;
        }
        ownerResolver.send(owner.get(), request.message());
        context.after(REQUEST_RESEND_INTERVAL, () -> sendRequest(number));
    }

    /** Refuses the request. The refusal is final: a claim that is granted later is released. */
    private void abandon(long number, String reason) {
        PendingRequest request = pendingRequests.remove(number);
        if (request == null) {
            return;
        }
        answer(request.reply(), undecided(reason));
        if (!request.lookup()) {
            pendingClaims.remove(request.claim());
            addUnrecordedEnd(
                    number,
                    new Ended(request.shard(), request.record().key(), attempt(number), Outcome.NOT_SENT, noAnswer()));
        }
    }

    void onDecided(Decided decided) {
        if (!isOfThisProcess(decided.attempt())) {
            return;
        }
        long number = decided.attempt().number();
        PendingRequest request = pendingRequests.get(number);
        if (request == null) {
            return;
        }
        Decision decision = decided.decision();
        boolean ownerChanged = decision instanceof Decision.Refused refused && refused.kind() == ErrorKind.STALE_OWNER;
        if (ownerChanged) {
            return;
        }
        pendingRequests.remove(number);
        if (!request.lookup()) {
            pendingClaims.remove(request.claim());
        }
        if (decision instanceof Decision.Granted) {
            heldClaims.put(request.claim(), number);
        }
        answer(request.reply(), toClaimDecision(decision));
    }

    private static ClaimDecision toClaimDecision(Decision decision) {
        if (decision instanceof Decision.Granted) {
            return new ClaimDecision.Granted();
        }
        if (decision instanceof Decision.Running running) {
            return new ClaimDecision.Running(running.entry(), running.request());
        }
        if (decision instanceof Decision.Answered answered) {
            return new ClaimDecision.Answered(answered.answer());
        }
        if (decision instanceof Decision.Unclaimed) {
            return new ClaimDecision.Unclaimed();
        }
        if (decision instanceof Decision.Undecided undecided) {
            return undecided(undecided.detail());
        }
        Decision.Refused refused = (Decision.Refused) decision;
        return refused.kind() == ErrorKind.CLAIM_UNAVAILABLE
                ? new ClaimDecision.Refused(unavailable(refused.detail()))
                : new ClaimDecision.Refused(refused.kind().raise(refused.detail()));
    }

    /** Returns the refusal of a request whose key may have run in an earlier attempt. */
    private static ClaimDecision undecided(String reason) {
        return new ClaimDecision.Refused(unavailable(reason).mayHaveRunBefore());
    }

    private static YuccagwException unavailable(String reason) {
        return ErrorKind.CLAIM_UNAVAILABLE.raise(reason).withRetryAfter(RETRY_AFTER);
    }

    void onClaimEnded(ClaimEnded ended) {
        Long number = heldClaims.remove(ended.claim());
        ClaimKey key = ClaimKey.of(ended.claim());
        Optional<ShardNumber> shard = ownerResolver.shardOf(key);
        if (number != null && shard.isPresent()) {
            Optional<KeptAnswer> retained =
                    ended.answer().filter(answer -> answer.body().length <= MAX_RETAINED_ANSWER_BYTES);
            addUnrecordedEnd(number, new Ended(shard.get(), key, attempt(number), ended.outcome(), retained));
        }
    }

    private void addUnrecordedEnd(long number, Ended ended) {
        unrecordedEnds.put(number, ended);
        if (unrecordedEnds.size() > MAX_UNRECORDED_ENDS) {
            // The oldest end is discarded. From now on the outcome of the attempts up to its number isn't known, and a
            // query about one of them is answered with UNKNOWN instead of NOT_SENT.
            long oldest = unrecordedEnds.keySet().iterator().next();
            unrecordedEnds.remove(oldest);
            highestDiscardedNumber = Math.max(highestDiscardedNumber, oldest);
        }
        sendEnd(ended);
        scheduleEndResend();
    }

    private void sendEnd(Ended ended) {
        ownerResolver.ownerOf(ended.shard()).ifPresent(owner -> ownerResolver.send(owner, ended));
    }

    private void scheduleEndResend() {
        if (!resendScheduled && !unrecordedEnds.isEmpty()) {
            resendScheduled = true;
            context.after(END_RESEND_INTERVAL, () -> {
                resendScheduled = false;
                unrecordedEnds.values().stream()
                        .limit(MAX_ENDS_PER_RESEND)
                        .toList()
                        .forEach(this::sendEnd);
                scheduleEndResend();
            });
        }
    }

    void onEndRecorded(EndRecorded recorded) {
        if (isOfThisProcess(recorded.attempt())) {
            unrecordedEnds.remove(recorded.attempt().number());
        }
    }

    void onStatusQuery(StatusQuery query) {
        long number = query.attempt().number();
        if (!isOfThisProcess(query.attempt())
                || heldClaims.containsValue(number)
                || unrecordedEnds.containsKey(number)) {
            return;
        }
        if (pendingRequests.containsKey(number)) {
            return;
        }
        Outcome outcome = number <= highestDiscardedNumber ? Outcome.UNKNOWN : Outcome.NOT_SENT;
        addUnrecordedEnd(number, new Ended(query.shard(), query.key(), query.attempt(), outcome, noAnswer()));
    }

    private boolean isOfThisProcess(ClaimAttempt attempt) {
        return attempt.entry().equals(context.self().entry())
                && attempt.incarnation() == context.self().incarnation();
    }

    private static Optional<KeptAnswer> noAnswer() {
        return Optional.empty();
    }

    private void answer(Consumer<ClaimDecision> reply, ClaimDecision decision) {
        context.reply(() -> reply.accept(decision));
    }

    int runningCount() {
        return heldClaims.size();
    }

    int unrecordedEndCount() {
        return unrecordedEnds.size();
    }
}

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
import org.yuccagw.core.claim.ClaimPeerMessage.Ask;
import org.yuccagw.core.claim.ClaimPeerMessage.Decided;
import org.yuccagw.core.claim.ClaimPeerMessage.EndRecorded;
import org.yuccagw.core.claim.ClaimPeerMessage.Ended;
import org.yuccagw.core.claim.ClaimPeerMessage.StillRunning;
import org.yuccagw.core.claim.ClaimPeerMessage.Verdict;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.ShardNumber;

/**
 * The asking side of claims on one entry: sends asks to the owners, and remembers each attempt until the log has its
 * end.
 *
 * <p>An attempt is in one of three places: it waits for a decision, it holds the claim, or its end waits to be
 * recorded. Only in the second may the request be sent to an endpoint. An attempt that is in none of them was
 * refused here, or its end is recorded; in both cases a log that still says "running" can only hold a claim that was
 * never granted to traffic. That is why the answer to {@link StillRunning} about an unknown attempt of this process
 * is "sent nothing".
 *
 * <p>An attempt that is given up before it was decided leaves as an end "not sent", so that the key can be claimed
 * again if the owner recorded the claim all the same.
 */
final class ClaimClient {
    private static final Duration RESEND = Duration.ofMillis(300);
    private static final Duration LONGEST_WAIT = Duration.ofMillis(2500);
    private static final Duration END_RESEND = Duration.ofSeconds(1);
    private static final Duration COME_BACK = Duration.ofSeconds(1);
    private static final int MOST_ENDS = 10_000;
    private static final int ENDS_AT_ONCE = 100;
    private static final int MOST_KEPT_BYTES = 4 * 1024;

    private final ControlContext context;
    private final Directory directory;
    private final Map<Long, Pending> pending = new HashMap<>();
    private final Set<Claim> asking = new HashSet<>();
    private final Map<Claim, Long> held = new HashMap<>();
    private final LinkedHashMap<Long, Ended> ends = new LinkedHashMap<>();
    private long nextNumber = 1;
    private long forgottenThrough;
    private boolean resendingEnds;

    ClaimClient(ControlContext context, Directory directory) {
        this.context = context;
        this.directory = directory;
    }

    /** Where the owners are and how to reach them. */
    interface Directory {
        /** The shard of a key; empty before the shards are known. */
        Optional<ShardNumber> shardOf(ClaimKey key);

        Optional<EntryId> ownerOf(ShardNumber shard);

        void send(EntryId to, ClaimPeerMessage message);
    }

    private record Pending(ShardNumber shard, Claim claim, ClaimRecord wanted, Consumer<ClaimDecision> reply) {}

    void asked(ClaimRequested requested) {
        Claim claim = requested.claim();
        ClaimKey key = ClaimKey.of(claim);
        Optional<ShardNumber> shard = directory.shardOf(key);
        if (isKnown(claim)) {
            answer(requested.reply(), new ClaimDecision.Running(claim.entry(), claim.request()));
        } else if (shard.isEmpty() || directory.ownerOf(shard.get()).isEmpty()) {
            answer(requested.reply(), unavailable("the shard of the key has no owner now"));
        } else {
            long number = nextNumber++;
            ClaimRecord wanted = ClaimRecord.running(claim, attempt(number), context.wallMillis());
            pending.put(number, new Pending(shard.get(), claim, wanted, requested.reply()));
            asking.add(claim);
            send(number);
            context.after(LONGEST_WAIT, () -> giveUp(number, "the owner of the shard did not answer"));
        }
    }

    /** Whether the very same ask, with the same request id, is here already. */
    private boolean isKnown(Claim claim) {
        return held.containsKey(claim) || asking.contains(claim);
    }

    private ClaimAttempt attempt(long number) {
        return new ClaimAttempt(context.self().entry(), context.self().incarnation(), number);
    }

    private void send(long number) {
        Pending ask = pending.get(number);
        if (ask == null) {
            return;
        }
        Optional<EntryId> owner = directory.ownerOf(ask.shard());
        if (owner.isEmpty()) {
            giveUp(number, "the shard of the key has no owner now");
            return;
        }
        directory.send(owner.get(), new Ask(ask.shard(), ask.wanted()));
        context.after(RESEND, () -> send(number));
    }

    /** Refuses the request as not run, for good: a grant that comes later is given back. */
    private void giveUp(long number, String reason) {
        Pending ask = pending.remove(number);
        if (ask != null) {
            asking.remove(ask.claim());
            answer(ask.reply(), unavailable(reason));
            keepEnd(number, new Ended(ask.shard(), ask.wanted().key(), attempt(number), Outcome.NOT_SENT, none()));
        }
    }

    void decided(Decided decided) {
        if (!isOwn(decided.attempt())) {
            return;
        }
        long number = decided.attempt().number();
        Pending ask = pending.get(number);
        if (ask == null) {
            return;
        }
        Verdict verdict = decided.verdict();
        boolean askAgain = verdict instanceof Verdict.Refused refused && refused.kind() == ErrorKind.STALE_OWNER;
        if (askAgain) {
            return;
        }
        pending.remove(number);
        asking.remove(ask.claim());
        if (verdict instanceof Verdict.Granted) {
            held.put(ask.claim(), number);
        }
        answer(ask.reply(), decision(verdict));
    }

    private static ClaimDecision decision(Verdict verdict) {
        if (verdict instanceof Verdict.Granted) {
            return new ClaimDecision.Granted();
        }
        if (verdict instanceof Verdict.Running running) {
            return new ClaimDecision.Running(running.entry(), running.request());
        }
        if (verdict instanceof Verdict.Answered answered) {
            return new ClaimDecision.Answered(answered.answer());
        }
        Verdict.Refused refused = (Verdict.Refused) verdict;
        return refused.kind() == ErrorKind.CLAIM_UNAVAILABLE
                ? unavailable(refused.detail())
                : new ClaimDecision.Refused(refused.kind().raise(refused.detail()));
    }

    private static ClaimDecision unavailable(String reason) {
        return new ClaimDecision.Refused(
                ErrorKind.CLAIM_UNAVAILABLE.raise(reason).withRetryAfter(COME_BACK));
    }

    void ended(ClaimEnded ended) {
        Long number = held.remove(ended.claim());
        ClaimKey key = ClaimKey.of(ended.claim());
        Optional<ShardNumber> shard = directory.shardOf(key);
        if (number != null && shard.isPresent()) {
            Optional<KeptAnswer> kept = ended.answer().filter(answer -> answer.body().length <= MOST_KEPT_BYTES);
            keepEnd(number, new Ended(shard.get(), key, attempt(number), ended.outcome(), kept));
        }
    }

    private void keepEnd(long number, Ended ended) {
        ends.put(number, ended);
        if (ends.size() > MOST_ENDS) {
            // The oldest end is given up: from here on nothing is known of the attempts up to its number, and a
            // question about them is answered with "unknown" instead of "sent nothing".
            long oldest = ends.keySet().iterator().next();
            ends.remove(oldest);
            forgottenThrough = Math.max(forgottenThrough, oldest);
        }
        sendEnd(ended);
        resendEnds();
    }

    private void sendEnd(Ended ended) {
        directory.ownerOf(ended.shard()).ifPresent(owner -> directory.send(owner, ended));
    }

    private void resendEnds() {
        if (!resendingEnds && !ends.isEmpty()) {
            resendingEnds = true;
            context.after(END_RESEND, () -> {
                resendingEnds = false;
                ends.values().stream().limit(ENDS_AT_ONCE).toList().forEach(this::sendEnd);
                resendEnds();
            });
        }
    }

    void endRecorded(EndRecorded recorded) {
        if (isOwn(recorded.attempt())) {
            ends.remove(recorded.attempt().number());
        }
    }

    void stillRunning(StillRunning question) {
        long number = question.attempt().number();
        if (!isOwn(question.attempt()) || held.containsValue(number) || ends.containsKey(number)) {
            return;
        }
        if (pending.containsKey(number)) {
            return;
        }
        Outcome outcome = number <= forgottenThrough ? Outcome.UNKNOWN : Outcome.NOT_SENT;
        keepEnd(number, new Ended(question.shard(), question.key(), question.attempt(), outcome, none()));
    }

    private boolean isOwn(ClaimAttempt attempt) {
        return attempt.entry().equals(context.self().entry())
                && attempt.incarnation() == context.self().incarnation();
    }

    private static Optional<KeptAnswer> none() {
        return Optional.empty();
    }

    private void answer(Consumer<ClaimDecision> reply, ClaimDecision decision) {
        context.reply(() -> reply.accept(decision));
    }

    int running() {
        return held.size();
    }

    int endsToRecord() {
        return ends.size();
    }
}

package org.yuccagw.core.request;

import java.util.Optional;
import org.yuccagw.core.claim.ClaimDecision.KeptAnswer;
import org.yuccagw.core.claim.ClaimEnded;
import org.yuccagw.core.claim.ClaimEnded.Outcome;
import org.yuccagw.core.error.YuccagwException;

/** The claim of a request's idempotency key. A request without a key has none, and nothing here has an effect. */
final class KeyedClaim {
    private final RequestProfile profile;
    private final RequestEffects effects;
    private boolean held;

    private KeyedClaim(RequestProfile profile, RequestEffects effects) {
        this.profile = profile;
        this.effects = effects;
    }

    static KeyedClaim of(RequestProfile profile, RequestEffects effects) {
        return new KeyedClaim(profile, effects);
    }

    boolean isRequired() {
        return profile.claim().isPresent();
    }

    boolean isHeld() {
        return held;
    }

    /** Records that the claim was granted. */
    void hold() {
        held = true;
    }

    /** Returns the refusal of a request that was not sent. Without its claim, an earlier attempt may have been. */
    YuccagwException refusal(YuccagwException notRun) {
        return isRequired() && !held ? notRun.mayHaveRunBefore() : notRun;
    }

    /** Ends the claim if it is held. */
    void end(Outcome outcome) {
        if (held) {
            held = false;
            report(outcome);
        }
    }

    /** Releases a claim that was granted after the end of the request, which sent nothing. */
    void releaseLate() {
        report(Outcome.NOT_SENT);
    }

    private void report(Outcome outcome) {
        Optional<KeptAnswer> answer = outcome == Outcome.ANSWERED ? effects.keptAnswer() : Optional.empty();
        profile.claim().ifPresent(claim -> effects.report(new ClaimEnded(claim, outcome, answer)));
    }
}

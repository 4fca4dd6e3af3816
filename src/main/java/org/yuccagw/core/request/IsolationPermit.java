package org.yuccagw.core.request;

import java.util.OptionalLong;
import org.yuccagw.core.quarantine.QuarantineRequested.PermitReturned;

/** The permit to run a prompt that has terminated an endpoint, which an attempt holds until its end. */
final class IsolationPermit {
    private final RequestProfile profile;
    private final RequestEffects effects;
    private OptionalLong number = OptionalLong.empty();

    private IsolationPermit(RequestProfile profile, RequestEffects effects) {
        this.profile = profile;
        this.effects = effects;
    }

    static IsolationPermit of(RequestProfile profile, RequestEffects effects) {
        return new IsolationPermit(profile, effects);
    }

    boolean isHeld() {
        return number.isPresent();
    }

    void hold(long permit) {
        number = OptionalLong.of(permit);
    }

    /** Returns the permit if it is held. */
    void release() {
        number.ifPresent(this::release);
        number = OptionalLong.empty();
    }

    /** Returns a permit that was granted too late to be held. */
    void release(long permit) {
        effects.report(new PermitReturned(profile.fingerprint(), permit));
    }
}

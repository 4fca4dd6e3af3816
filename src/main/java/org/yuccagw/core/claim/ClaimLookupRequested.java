package org.yuccagw.core.claim;

import java.util.function.Consumer;
import org.yuccagw.core.control.ControlEvent;

/**
 * Asks what is recorded of the idempotency key of a request that won't run now. Raised by traffic.
 *
 * @param reply called exactly once, on any thread, with any decision but {@link ClaimDecision.Granted}
 */
public record ClaimLookupRequested(Claim claim, Consumer<ClaimDecision> reply) implements ControlEvent {}

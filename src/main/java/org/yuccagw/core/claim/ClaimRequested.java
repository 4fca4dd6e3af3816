package org.yuccagw.core.claim;

import java.util.function.Consumer;
import org.yuccagw.core.control.ControlEvent;

/**
 * Requests the right to run a request with an idempotency key. Raised by traffic.
 *
 * @param reply called exactly once, on any thread
 */
public record ClaimRequested(Claim claim, Consumer<ClaimDecision> reply) implements ControlEvent {}

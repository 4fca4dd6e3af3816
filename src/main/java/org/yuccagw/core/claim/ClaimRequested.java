package org.yuccagw.core.claim;

import java.util.function.Consumer;
import org.yuccagw.core.control.ControlEvent;

/** Traffic asks for the right to run a keyed request. The reply comes exactly once, on any thread. */
public record ClaimRequested(Claim claim, Consumer<ClaimDecision> reply) implements ControlEvent {}

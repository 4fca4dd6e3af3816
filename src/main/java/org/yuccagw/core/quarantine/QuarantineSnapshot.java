package org.yuccagw.core.quarantine;

/**
 * State of the quarantine on one entry, as shown to operators.
 *
 * @param suspectedPrompts number of prompts that terminated at least one endpoint within the quarantine time
 * @param permits number of suspected prompts that run isolated for callers of this entry
 */
public record QuarantineSnapshot(int suspectedPrompts, int permits) {}

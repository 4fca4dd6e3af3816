package org.yuccagw.core.claim;

import org.yuccagw.core.id.EntryId;

/**
 * Identifier of one request for a claim, unique over all entries and their processes.
 *
 * <p>The identifier of the caller's request is not sufficient, because callers may send the same one twice.
 *
 * @param incarnation of the entry's process
 * @param number sequence number of the claim requests of that process, from 1
 */
public record ClaimAttempt(EntryId entry, long incarnation, long number) {}

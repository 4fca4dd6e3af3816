package org.yuccagw.core.claim;

/**
 * State of the claims on one entry, as shown to operators.
 *
 * @param ownedShards number of shards whose claims this entry decides
 * @param running number of granted claims of this entry's traffic that haven't ended
 * @param endsToRecord number of ends that aren't recorded in the log yet; grows while the key-value service is
 *     unavailable
 */
public record ClaimsSnapshot(int ownedShards, int running, int endsToRecord) {}

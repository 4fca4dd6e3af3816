package org.yuccagw.core.peers;

import org.yuccagw.core.fleet.EntryContact;

/**
 * This entry's local view of another entry.
 *
 * <p>An entry counts as alive while its own last heartbeat is recent enough, or while a roster from the lead that this
 * entry relies on lists it.
 */
final class Peer {
    /**
     * Long enough to receive a heartbeat from an entry that starts at the same time as this one, if it starts at all.
     */
    private static final long DISCOVERY_TIMEOUT_NANOS = 1_500_000_000L;

    /** By the end of this time a failed entry has been detected, and one that was suspended sends heartbeats again. */
    private static final long LEAD_EXCLUSION_NANOS = 3_000_000_000L;

    private static final long NEVER = Long.MIN_VALUE;

    private final long discoveredNanos;
    private EntryContact contact;
    private boolean listed;
    private boolean alive;
    private boolean ready;
    private boolean everAlive;
    private long lastStatusNanos = NEVER;
    private long lastDigestNanos = NEVER;
    private long lastHeartbeatNanos = NEVER;
    private long heartbeatExpiryNanos = NEVER;
    private long rosterExpiryNanos = NEVER;
    private long lastEvidenceNanos;
    private long followedSinceNanos = NEVER;
    private long excludedUntilNanos = NEVER;

    Peer(EntryContact contact, long nowNanos) {
        this.contact = contact;
        this.discoveredNanos = nowNanos;
        this.lastEvidenceNanos = nowNanos;
    }

    EntryContact contact() {
        return contact;
    }

    /** Replaces the contact by one that is not older. */
    void setContact(EntryContact newContact) {
        contact = newContact;
    }

    /** Returns whether the entry is registered in the key-value service. */
    boolean isListed() {
        return listed;
    }

    void setListed(boolean nowListed) {
        listed = nowListed;
    }

    boolean isAlive() {
        return alive;
    }

    boolean isServing() {
        return alive && ready;
    }

    boolean isReady() {
        return ready;
    }

    void setReady(boolean nowReady) {
        ready = nowReady;
    }

    /** Marks the entry as alive; returns whether it wasn't before. */
    boolean markAlive() {
        boolean changed = !alive;
        alive = true;
        everAlive = true;
        return changed;
    }

    /** Marks the entry as failed, and discards all that depends on the messages exchanged with its process. */
    void markFailed() {
        alive = false;
        lastStatusNanos = NEVER;
        lastDigestNanos = NEVER;
        followedSinceNanos = NEVER;
        excludedUntilNanos = NEVER;
    }

    /** Records a heartbeat of the entry; the next one is due well before {@code expiryNanos}. */
    void recordHeartbeat(long nowNanos, long expiryNanos) {
        lastEvidenceNanos = nowNanos;
        lastHeartbeatNanos = nowNanos;
        heartbeatExpiryNanos = expiryNanos;
    }

    /** Records that a roster lists the entry as alive, which is relied on until {@code expiryNanos}. */
    void recordRosterListing(long asOfNanos, long expiryNanos) {
        lastEvidenceNanos = Math.max(lastEvidenceNanos, asOfNanos);
        rosterExpiryNanos = expiryNanos;
    }

    /** Records that the lead whose roster listed the entry no longer lists it. */
    void clearRosterListing() {
        rosterExpiryNanos = NEVER;
    }

    boolean hasCurrentHeartbeat(long nowNanos) {
        return heartbeatExpiryNanos != NEVER && nowNanos - heartbeatExpiryNanos < 0;
    }

    /** Returns whether the last heartbeat arrived after {@code nanos}. */
    boolean sentHeartbeatAfter(long nanos) {
        return lastHeartbeatNanos != NEVER && lastHeartbeatNanos - nanos > 0;
    }

    /** Returns whether a heartbeat or a roster that hasn't expired shows that the entry is alive. */
    boolean hasLivenessEvidence(long nowNanos) {
        return hasCurrentHeartbeat(nowNanos) || (rosterExpiryNanos != NEVER && nowNanos - rosterExpiryNanos < 0);
    }

    /** Returns the time since the last heartbeat or roster that showed the entry to be alive. */
    long silentNanos(long nowNanos) {
        return nowNanos - lastEvidenceNanos;
    }

    boolean wasEverAlive() {
        return everAlive;
    }

    /** Returns whether only the contact of the entry is known, and its first heartbeat may still arrive. */
    boolean mayBeStarting(long nowNanos) {
        return !everAlive && nowNanos - discoveredNanos < DISCOVERY_TIMEOUT_NANOS;
    }

    // ---- Following and leading

    void recordStatus(long nowNanos) {
        lastStatusNanos = nowNanos;
    }

    void recordDigest(long nowNanos) {
        lastDigestNanos = nowNanos;
    }

    /** Returns whether the entry sent a plain heartbeat within that time, and so expects digests from this one. */
    boolean isFollower(long nowNanos, long withinNanos) {
        return lastStatusNanos != NEVER && nowNanos - lastStatusNanos < withinNanos;
    }

    /** Records that this entry follows the other one as a lead. */
    void startFollowing(long nowNanos) {
        if (followedSinceNanos == NEVER) {
            followedSinceNanos = nowNanos;
        }
    }

    void stopFollowing() {
        followedSinceNanos = NEVER;
    }

    /** Excludes the entry as a lead for a while if this entry has followed it for the timeout without an answer. */
    void excludeIfUnanswered(long nowNanos, long timeoutNanos) {
        boolean answered = lastDigestNanos != NEVER && nowNanos - lastDigestNanos < timeoutNanos;
        if (followedSinceNanos != NEVER && !answered && nowNanos - followedSinceNanos >= timeoutNanos) {
            followedSinceNanos = NEVER;
            excludedUntilNanos = nowNanos + LEAD_EXCLUSION_NANOS;
        }
    }

    boolean isExcludedAsLead(long nowNanos) {
        return excludedUntilNanos != NEVER && nowNanos - excludedUntilNanos < 0;
    }

    /** Returns whether the entry sent a digest within that time. */
    boolean sentDigestWithin(long nowNanos, long withinNanos) {
        return lastDigestNanos != NEVER && nowNanos - lastDigestNanos < withinNanos;
    }
}

package org.yuccagw.core.follow;

/** Determines whether this entry watches itself, and whether it forwards changes to followers. */
public interface WatchRole {
    /** Returns whether this entry may rely on confirmations from leads instead of watching. */
    boolean reliesOnLeads();

    /** Returns whether this entry takes requests. */
    boolean isServing();

    /** Returns whether other entries rely on this one. */
    boolean hasFollowers();

    /** Sends changes to the entries that rely on this one. */
    void sendToFollowers(FollowMessage.Changes changes);

    /** Returns the role of an entry in a fleet in which every entry watches. */
    static WatchRole alwaysWatching() {
        return new WatchRole() {
            @Override
            public boolean reliesOnLeads() {
                return false;
            }

            @Override
            public boolean isServing() {
                return true;
            }

            @Override
            public boolean hasFollowers() {
                return false;
            }

            @Override
            public void sendToFollowers(FollowMessage.Changes changes) {
                // No entry relies on this one.
            }
        };
    }
}

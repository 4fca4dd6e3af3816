package org.yuccagw.core.ratelimit;

import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.id.EntryId;

/** The surroundings of an entry that hears of no other one. */
public final class NoOthers implements RateLimitsPart.Fleet {
    private NoOthers() {}

    /** Limits that nobody names. */
    public static RateLimitsPart noLimits() {
        return RateLimitsPart.of(new NoOthers());
    }

    @Override
    public Senders sendersTo(ListedEndpoint endpoint) {
        return Senders.nobody();
    }

    @Override
    public void tell(RateLimitNews news) {}

    @Override
    public void tellFollowers(RateLimitNews news) {}

    @Override
    public boolean speaksFor(EntryId from) {
        return false;
    }
}

package org.yuccagw.core.ratelimit;

import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.notice.NoticesPart;

/** The surroundings of an entry that hears of no other one. */
public final class NoOthers implements RateLimitsPart.Fleet {
    private NoOthers() {}

    /** Calls to endpoints that ask for nothing. */
    public static OwnCalls unlimitedCalls() {
        return OwnCalls.of(RateLimitsPart.of(new NoOthers()), NoticesPart.create());
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

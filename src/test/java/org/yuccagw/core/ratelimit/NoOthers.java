package org.yuccagw.core.ratelimit;

import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.notice.NoticesPart;
import org.yuccagw.core.port.PeerMessage;

/** The surroundings of an entry that hears of no other one. */
public final class NoOthers implements RateLimitsPart.Fleet {
    private NoOthers() {}

    /** Calls to endpoints that ask for nothing. */
    public static OwnCalls unlimitedCalls() {
        NoOthers nobody = new NoOthers();
        return OwnCalls.of(new EndpointAsks(RateLimitsPart.of(nobody), NoticesPart.of(nobody)));
    }

    @Override
    public Senders sendersTo(ListedEndpoint endpoint) {
        return Senders.nobody();
    }

    @Override
    public void tell(PeerMessage news) {}

    @Override
    public void tellFollowers(PeerMessage news) {}

    @Override
    public boolean speaksFor(EntryId from) {
        return false;
    }
}

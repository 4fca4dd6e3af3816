package org.yuccagw.core.ratelimit;

import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.notice.NoticesComponent;
import org.yuccagw.core.port.PeerMessage;

/** The surroundings of an entry that hears of no other one. */
public final class NoOthers implements RateLimitsComponent.Fleet {
    private NoOthers() {}

    /** Calls to endpoints that ask for nothing. */
    public static InternalCalls unlimitedCalls() {
        NoOthers nobody = new NoOthers();
        return InternalCalls.of(new EndpointConstraints(RateLimitsComponent.of(nobody), NoticesComponent.of(nobody)));
    }

    @Override
    public RateLimitShares sendersTo(ListedEndpoint endpoint) {
        return RateLimitShares.nobody();
    }

    @Override
    public void broadcast(PeerMessage news) {}

    @Override
    public void sendToFollowers(PeerMessage news) {}

    @Override
    public boolean forwardsFor(EntryId from) {
        return false;
    }
}

package org.yuccagw.core.ratelimit;

import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.notice.NoticesComponent;
import org.yuccagw.core.port.PeerMessage;

/** The environment of an entry that receives no messages from other entries. */
public final class NoOthers implements RateLimitsComponent.Fleet {
    private NoOthers() {}

    /** Returns internal calls to endpoints without constraints. */
    public static InternalCalls unlimitedCalls() {
        NoOthers noPeers = new NoOthers();
        return InternalCalls.of(new EndpointConstraints(RateLimitsComponent.of(noPeers), NoticesComponent.of(noPeers)));
    }

    @Override
    public RateLimitShares sendersTo(ListedEndpoint endpoint) {
        return RateLimitShares.nobody();
    }

    @Override
    public void tell(PeerMessage update) {}

    @Override
    public void tellFollowers(PeerMessage update) {}

    @Override
    public boolean speaksFor(EntryId from) {
        return false;
    }
}

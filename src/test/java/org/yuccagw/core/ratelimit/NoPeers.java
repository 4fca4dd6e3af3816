package org.yuccagw.core.ratelimit;

import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.notice.NoticesComponent;
import org.yuccagw.core.port.PeerMessage;

/** The environment of an entry that receives no messages from other entries. */
public final class NoPeers implements RateLimitsComponent.Fleet {
    private NoPeers() {}

    /** Returns internal calls to endpoints without constraints. */
    public static InternalCalls unlimitedCalls() {
        NoPeers noPeers = new NoPeers();
        return InternalCalls.of(new EndpointConstraints(RateLimitsComponent.of(noPeers), NoticesComponent.of(noPeers)));
    }

    @Override
    public RateLimitShares sharesFor(ListedEndpoint endpoint) {
        return RateLimitShares.ofUnknownPlacers();
    }

    @Override
    public void broadcast(PeerMessage update) {}

    @Override
    public void sendToFollowers(PeerMessage update) {}

    @Override
    public boolean forwardsFor(EntryId from) {
        return false;
    }
}

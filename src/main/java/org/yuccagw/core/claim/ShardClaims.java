package org.yuccagw.core.claim;

import org.yuccagw.core.claim.ClaimPeerMessage.Ended;
import org.yuccagw.core.claim.ClaimPeerMessage.Lookup;
import org.yuccagw.core.claim.ClaimPeerMessage.Request;

/** Answers the messages about the claims of one shard. */
interface ShardClaims {
    void handleRequest(Request request);

    void handleLookup(Lookup lookup);

    void handleEnded(Ended ended);

    /** Passes a message to the method for it; messages to the client side are ignored. */
    default void handle(ClaimPeerMessage message) {
        if (message instanceof Request request) {
            handleRequest(request);
        } else if (message instanceof Lookup lookup) {
            handleLookup(lookup);
        } else if (message instanceof Ended ended) {
            handleEnded(ended);
        }
    }
}

package org.yuccagw.core.peers;

import com.google.common.collect.ImmutableList;
import java.util.OptionalLong;
import org.yuccagw.core.id.EndpointIncarnation;

/** Supplies the state of the other components of this entry for its own heartbeat. */
public interface LocalState {
    /** Returns why this entry can't serve; empty if it can. */
    String reasonNotReady(long nowNanos);

    /** Returns the revision of the key-value service up to which this entry's copy is complete. */
    long revision();

    /** Returns the monotonic time at which the key-value service last confirmed the copy; empty if it never did. */
    OptionalLong confirmedNanos();

    ImmutableList<PeerStatus.Load> loads();

    ImmutableList<EndpointIncarnation> loading();

    ImmutableList<PeerStatus.Weights> weights();

    /** Returns the prompts that wait at this entry and can still start in time. */
    ImmutableList<PeerStatus.Queued> queued();
}

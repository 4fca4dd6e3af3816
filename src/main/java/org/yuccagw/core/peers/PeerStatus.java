package org.yuccagw.core.peers;

import com.google.common.collect.ImmutableList;
import org.yuccagw.core.fleet.EntryContact;
import org.yuccagw.core.fleet.ModelWeights;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.pacing.RecentPrefill;
import org.yuccagw.core.port.PeerMessage;

/**
 * The heartbeat of one entry.
 *
 * @param ready whether the entry takes new requests
 * @param leaving whether the entry is stopping
 * @param revision revision of the key-value service up to which the entry's copy is complete
 * @param intervalMillis time until the next heartbeat at the latest
 * @param loads the entry's running requests by endpoint; endpoints without any are omitted
 * @param loading endpoints that the entry has ordered to load weights
 * @param weights weights that engines run, where these are newer than the registered ones
 * @param queued the prompts that wait at the entry and can still start in time
 */
public record PeerStatus(
        EntryContact contact,
        boolean ready,
        boolean leaving,
        long revision,
        long intervalMillis,
        ImmutableList<Load> loads,
        ImmutableList<EndpointIncarnation> loading,
        ImmutableList<Weights> weights,
        ImmutableList<Queued> queued)
        implements PeerMessage {

    /**
     * The waiting prompts of one service and urgency.
     *
     * @param urgency 0 is the most urgent
     * @param promptTokens sum of their prompt tokens
     */
    public record Queued(ServiceName service, int urgency, long promptTokens) {}

    /** The weights that one engine runs. */
    public record Weights(EndpointIncarnation endpoint, ModelWeights runs) {}

    /**
     * The load of one entry on one endpoint.
     *
     * @param requests number of requests that were sent and haven't ended
     * @param tokens number of tokens of their prompts and expected answers
     * @param unreadTokens number of prompt tokens still to be prefilled: those of requests whose answers haven't
     *     started
     * @param prefill prefill that this entry placed there recently
     */
    public record Load(
            EndpointIncarnation endpoint, int requests, long tokens, long unreadTokens, RecentPrefill prefill) {}
}

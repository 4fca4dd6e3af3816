package org.yuccagw.core.swap;

import java.util.Optional;
import org.yuccagw.core.control.ControlAction;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.NetworkAddress;

/**
 * Sends an order to an endpoint. The outcome is reported by {@link OrderEnded}.
 *
 * @param value the version, adapter or role
 * @param fencing the epoch of the shard that the endpoint's pool belongs to
 * @param authorityEndsNanos monotonic time from which on the order must not be sent any more. The sender checks it
 *     again right before sending, because the process may have been suspended past its lease between the decision and
 *     the sending
 * @param weightStore address of the store to load the weights from
 */
public record OrderEndpoint(
        EndpointId endpoint,
        NetworkAddress address,
        OrderKind kind,
        String value,
        long fencing,
        long authorityEndsNanos,
        Optional<NetworkAddress> weightStore)
        implements ControlAction {}

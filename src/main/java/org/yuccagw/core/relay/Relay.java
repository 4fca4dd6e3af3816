package org.yuccagw.core.relay;

import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.NetworkAddress;

/**
 * Another entry that sends requests to endpoints for this one.
 *
 * @param address where it listens for such requests
 */
public record Relay(EntryId entry, NetworkAddress address) {}

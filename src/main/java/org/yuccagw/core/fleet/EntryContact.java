package org.yuccagw.core.fleet;

import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;

/**
 * Where one entry stands and listens.
 *
 * @param incarnation higher for each start of the process
 */
public record EntryContact(
        EntryId entry, long incarnation, FailureDomain domain, NetworkAddress callers, NetworkAddress peers) {}

package org.yuccagw.standins.http;

import org.yuccagw.core.id.NetworkAddress;

/** A running stand-in for one service or engine of the platform. */
public interface StandIn {
    /** Returns the address at which the stand-in serves its protocol. */
    NetworkAddress address();

    /**
     * Returns the address at which tests read the record and inject faults, which also works after a simulated crash.
     */
    NetworkAddress controlAddress();

    /** Replaces the injected faults. */
    void injectFaults(ServiceFaults faults);

    /** Closes both addresses and all connections and releases the threads. */
    void stop();
}

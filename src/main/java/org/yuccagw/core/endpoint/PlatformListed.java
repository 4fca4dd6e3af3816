package org.yuccagw.core.endpoint;

import java.util.List;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.VmId;

/** Raised when the platform's list of VMs was read. The list lags behind the actual state. */
public record PlatformListed(List<ListedVm> vms) implements ControlEvent {
    public PlatformListed {
        vms = List.copyOf(vms);
    }

    /** The purpose of a VM. */
    public enum VmKind {
        ENTRY,
        ENDPOINT,
        STORE,
        WEIGHT_STORE
    }

    /**
     * One VM of the list.
     *
     * @param incarnation higher after each replacement
     * @param leaving whether the platform is stopping the VM
     * @param name name of the process on it: an endpoint, a store or an entry
     * @param pool the pool of endpoints that it belongs to, empty for other kinds
     */
    public record ListedVm(
            VmId vm,
            long incarnation,
            boolean leaving,
            VmKind kind,
            String name,
            String pool,
            FailureDomain domain,
            NetworkAddress address) {}
}

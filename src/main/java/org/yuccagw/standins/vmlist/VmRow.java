package org.yuccagw.standins.vmlist;

import com.fasterxml.jackson.databind.JsonNode;
import org.yuccagw.core.id.NetworkAddress;

/**
 * One row of the list of VMs; the names of the components are the fields of its JSON.
 *
 * @param incarnation incremented by each replacement of the VM
 * @param state {@code live} or {@code leaving}
 * @param kind {@code entry}, {@code endpoint}, {@code store} or {@code weight-store}
 * @param name the name of the process on the VM
 * @param pool the pool of an endpoint; empty for other kinds
 * @param address {@code HOST:PORT}
 */
public record VmRow(
        String vm,
        long incarnation,
        String state,
        String kind,
        String name,
        String pool,
        String domain,
        String address) {

    /** Returns the first incarnation of a live VM, named {@code vm-} and the name of its process. */
    public static VmRow live(String kind, String name, String pool, String domain, NetworkAddress address) {
        return new VmRow("vm-" + name, 1, "live", kind, name, pool, domain, address.toString());
    }

    /** Returns the row of this VM with the state {@code leaving}. */
    public VmRow leaving() {
        return new VmRow(vm, incarnation, "leaving", kind, name, pool, domain, address);
    }

    /** Returns the row of this VM after its replacement: the next incarnation, live at the new address. */
    public VmRow replaced(NetworkAddress newAddress) {
        return new VmRow(vm, incarnation + 1, "live", kind, name, pool, domain, newAddress.toString());
    }

    static VmRow of(JsonNode row) {
        return new VmRow(
                row.path("vm").asText(),
                row.path("incarnation").asLong(1),
                row.path("state").asText("live"),
                row.path("kind").asText(),
                row.path("name").asText(),
                row.path("pool").asText(),
                row.path("domain").asText(),
                row.path("address").asText());
    }
}

package org.yuccagw.core.id;

/**
 * The id of a VM.
 *
 * @param value the name under which the platform lists the VM
 */
public record VmId(String value) implements Comparable<VmId> {
    public VmId {
        Names.requireNonBlank("VmId", value);
    }

    public static VmId of(String value) {
        return new VmId(value);
    }

    @Override
    public int compareTo(VmId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

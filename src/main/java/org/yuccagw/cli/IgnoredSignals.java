package org.yuccagw.cli;

import com.sun.jna.NativeLibrary;
import com.sun.jna.Pointer;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.BitSet;

/** The signals that this process ignores, by their numbers on Linux. */
final class IgnoredSignals {
    private static final Path STATUS = Path.of("/proc/self/status");

    /** The line with a hexadecimal mask, whose lowest bit is signal 1. */
    private static final String MASK_PREFIX = "SigIgn:";

    private static final int HEXADECIMAL = 16;

    private final BitSet numbers;

    private IgnoredSignals(BitSet numbers) {
        this.numbers = numbers;
    }

    /** Reads the ignored signals of this process; none on systems that don't tell them. */
    static IgnoredSignals ofThisProcess() {
        try {
            return parse(Files.readString(STATUS));
        } catch (IOException notTold) {
            return new IgnoredSignals(new BitSet());
        }
    }

    /** Parses the status of a process. */
    static IgnoredSignals parse(String status) {
        BitSet numbers = new BitSet();
        status.lines()
                .filter(line -> line.startsWith(MASK_PREFIX))
                .map(line -> line.substring(MASK_PREFIX.length()).trim())
                .forEach(mask -> {
                    BitSet bits = BitSet.valueOf(new long[] {Long.parseUnsignedLong(mask, HEXADECIMAL)});
                    bits.stream().map(bit -> bit + 1).forEach(numbers::set);
                });
        return new IgnoredSignals(numbers);
    }

    boolean contains(int number) {
        return numbers.get(number);
    }

    /** Gives the signal its default reaction, by a call of the C library, where a null handler stands for it. */
    static void restoreDefault(int number) {
        NativeLibrary.getProcess().getFunction("signal").invokePointer(new Object[] {number, Pointer.NULL});
    }
}

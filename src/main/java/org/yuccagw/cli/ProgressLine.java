package org.yuccagw.cli;

import java.io.PrintStream;
import java.util.function.Consumer;
import picocli.CommandLine.Help.Ansi;

/** Prints the current step: on a terminal to a single line that is overwritten, elsewhere to one line per step. */
final class ProgressLine implements Consumer<String> {
    private static final String CLEAR_LINE = "\r\u001b[K";

    private final PrintStream err;
    private final boolean terminal;

    private ProgressLine(PrintStream err, boolean terminal) {
        this.err = err;
        this.terminal = terminal;
    }

    static ProgressLine onStandardError() {
        return new ProgressLine(System.err, Ansi.AUTO.enabled());
    }

    @Override
    public void accept(String step) {
        if (terminal) {
            err.print(CLEAR_LINE + step + " ... ");
        } else {
            err.println(step + " ...");
        }
        err.flush();
    }

    /** Clears the line before results are printed. */
    void clear() {
        if (terminal) {
            err.print(CLEAR_LINE);
            err.flush();
        }
    }
}

package org.yuccagw.cli;

/** Exit codes of the process, the same for all subcommands. */
final class ExitCode {
    /** The command succeeded. */
    static final int OK = 0;

    /** The command failed, or a checked file is invalid. */
    static final int FAILED = 1;

    /** The command line is invalid. */
    static final int USAGE = 2;

    /** The entry refused the request: wrong key, invalid catalogue, or another edit was accepted first. */
    static final int REFUSED = 3;

    /** The entry did not answer. */
    static final int UNREACHABLE = 4;

    private ExitCode() {}
}

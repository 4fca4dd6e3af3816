package org.yuccagw.cli;

/** Ends a subcommand with an exit code, and with a message that is printed to standard error. */
final class CommandException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final int exitCode;

    private CommandException(int exitCode, String message) {
        super(message);
        this.exitCode = exitCode;
    }

    static CommandException failed(String message) {
        return new CommandException(ExitCode.FAILED, message);
    }

    static CommandException refused(String message) {
        return new CommandException(ExitCode.REFUSED, message);
    }

    static CommandException unreachable(String message) {
        return new CommandException(ExitCode.UNREACHABLE, message);
    }

    int exitCode() {
        return exitCode;
    }
}

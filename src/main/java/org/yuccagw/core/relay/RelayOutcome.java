package org.yuccagw.core.relay;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** What became of a request that an entry was asked to relay. */
public enum RelayOutcome {
    /** The endpoint answers, and its answer follows. */
    ANSWERED(true),
    /** The entry could not connect to the endpoint. Nothing was sent. */
    UNREACHED(false),
    /** The entry is itself cut off from endpoints. Nothing was sent. */
    CUT_OFF(false),
    /** The entry doesn't relay at present: it stops, or relays as much as it can. Nothing was sent. */
    REFUSED(false),
    /** The connection to the endpoint broke before an answer began. */
    BROKEN(true),
    /** The endpoint was silent for too long. */
    SILENT(true);

    private final boolean mayHaveRun;

    RelayOutcome(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /** Returns whether the endpoint may have run the request. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns the name for messages, logs and metrics. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the outcome with this name; empty if there is none. */
    public static Optional<RelayOutcome> ofCode(String code) {
        return Arrays.stream(values())
                .filter(outcome -> outcome.code().equals(code))
                .findFirst();
    }
}

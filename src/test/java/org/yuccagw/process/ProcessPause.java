package org.yuccagw.process;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A time in which a process did not run, on the monotonic clock that all processes of the machine share.
 *
 * @param collectionNanos how long it collected garbage meanwhile
 */
record ProcessPause(long fromNanos, long untilNanos, long collectionNanos) {
    private static final Pattern LINE = Pattern.compile("process-paused from=(-?\\d+) until=(-?\\d+) gc=(\\d+)");

    static Optional<ProcessPause> parse(String line) {
        Matcher matcher = LINE.matcher(line);
        return matcher.find()
                ? Optional.of(new ProcessPause(
                        Long.parseLong(matcher.group(1)),
                        Long.parseLong(matcher.group(2)),
                        Long.parseLong(matcher.group(3))))
                : Optional.empty();
    }

    String toLine() {
        return "process-paused from=" + fromNanos + " until=" + untilNanos + " gc=" + collectionNanos;
    }

    /** Returns how long the system did not run the process between the given times. */
    long nanosWithin(long beginNanos, long endNanos) {
        long common = Math.min(untilNanos, endNanos) - Math.max(fromNanos, beginNanos);
        return Math.max(0, common - collectionNanos);
    }
}

package org.yuccagw.adapters.decisions;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The timeline of one request from the decision logs of all entries: the lines of the request itself, and the lines
 * about the state of the system as known to the entries that may explain them.
 *
 * <p>A line without a request id belongs to the timeline if it is about an endpoint of the request, or if it names no
 * endpoint and was written by an entry that handled the request, and if its time is between {@link #LOOKBACK} before
 * the first line of the request and the last one. The clocks of entries differ, so the order of lines of different
 * entries that are a few milliseconds apart is not significant.
 */
public final class RequestTimeline {
    /**
     * Exceeds every wait that influences the placement of a request: outages, avoided endpoints and the loading of
     * weights.
     */
    static final Duration LOOKBACK = Duration.ofSeconds(3);

    private static final String REQUEST = "request";
    private static final String ENDPOINT = "endpoint";

    private final ImmutableList<DecisionLine> requestLines;
    private final ImmutableList<DecisionLine> stateLines;

    private RequestTimeline(ImmutableList<DecisionLine> requestLines, ImmutableList<DecisionLine> stateLines) {
        this.requestLines = requestLines;
        this.stateLines = stateLines;
    }

    /** Returns the timeline of the request with this id, which is empty if the logs have no line of the request. */
    public static RequestTimeline of(String request, List<DecisionLine> lines) {
        ImmutableList<DecisionLine> requestLines = lines.stream()
                .filter(line -> line.field(REQUEST).equals(request))
                .sorted(Comparator.comparing(DecisionLine::time))
                .collect(ImmutableList.toImmutableList());
        if (requestLines.isEmpty()) {
            return new RequestTimeline(requestLines, requestLines);
        }
        Instant from = requestLines.get(0).time().minus(LOOKBACK);
        Instant to = requestLines.get(requestLines.size() - 1).time();
        Set<String> entries = requestLines.stream().map(DecisionLine::entry).collect(Collectors.toSet());
        Set<String> endpoints = requestLines.stream()
                .map(line -> line.field(ENDPOINT))
                .filter(endpoint -> !endpoint.isEmpty())
                .collect(Collectors.toSet());
        ImmutableList<DecisionLine> stateLines = lines.stream()
                .filter(line -> line.field(REQUEST).isEmpty())
                .filter(line -> !line.time().isBefore(from) && !line.time().isAfter(to))
                .filter(line -> isRelated(line, entries, endpoints))
                .sorted(Comparator.comparing(DecisionLine::time))
                .collect(ImmutableList.toImmutableList());
        return new RequestTimeline(requestLines, stateLines);
    }

    private static boolean isRelated(DecisionLine line, Set<String> entries, Set<String> endpoints) {
        String endpoint = line.field(ENDPOINT);
        return endpoint.isEmpty() ? entries.contains(line.entry()) : endpoints.contains(endpoint);
    }

    /** Returns whether the logs have a line of the request. */
    public boolean isKnown() {
        return !requestLines.isEmpty();
    }

    /**
     * Returns one line of text for each line of the log, in order, with the milliseconds since the first line of the
     * request. The timeline must not be empty.
     */
    public String text() {
        Instant start = requestLines.get(0).time();
        StringBuilder text = new StringBuilder();
        if (!stateLines.isEmpty()) {
            text.append("What the entries believed:\n");
            stateLines.forEach(line -> append(text, start, line));
        }
        text.append("What was decided on the request:\n");
        requestLines.forEach(line -> append(text, start, line));
        return text.toString();
    }

    private static void append(StringBuilder text, Instant start, DecisionLine line) {
        long millis = Duration.between(start, line.time()).toMillis();
        text.append(String.format("%8d ms  %-20s %s%n", millis, line.entry(), line.text()));
    }
}

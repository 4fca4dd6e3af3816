package org.yuccagw.adapters.decisions;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * What the logs of all entries tell of one request: its own lines, and the beliefs that may explain them.
 *
 * <p>A belief belongs to the story if it was about an endpoint of the request, or changed at an entry that handled the
 * request, from {@link #BEFORE} its first line to its last. Clocks of entries differ, so the order of lines of
 * different entries that are a few milliseconds apart says nothing.
 */
public final class RequestTimeline {
    /** Longer than any wait that decides about a request: outages, avoided endpoints, the loading of weights. */
    static final Duration BEFORE = Duration.ofSeconds(3);

    private static final String REQUEST = "request";
    private static final String ENDPOINT = "endpoint";

    private final ImmutableList<DecisionLine> own;
    private final ImmutableList<DecisionLine> beliefs;

    private RequestTimeline(ImmutableList<DecisionLine> own, ImmutableList<DecisionLine> beliefs) {
        this.own = own;
        this.beliefs = beliefs;
    }

    /** The story of the request with this id; has no lines if the logs don't know it. */
    public static RequestTimeline of(String request, List<DecisionLine> lines) {
        ImmutableList<DecisionLine> own = lines.stream()
                .filter(line -> line.field(REQUEST).equals(request))
                .sorted(Comparator.comparing(DecisionLine::time))
                .collect(ImmutableList.toImmutableList());
        if (own.isEmpty()) {
            return new RequestTimeline(own, own);
        }
        Instant from = own.get(0).time().minus(BEFORE);
        Instant to = own.get(own.size() - 1).time();
        Set<String> entries = own.stream().map(DecisionLine::entry).collect(Collectors.toSet());
        Set<String> endpoints = own.stream()
                .map(line -> line.field(ENDPOINT))
                .filter(endpoint -> !endpoint.isEmpty())
                .collect(Collectors.toSet());
        ImmutableList<DecisionLine> beliefs = lines.stream()
                .filter(line -> line.field(REQUEST).isEmpty())
                .filter(line -> !line.time().isBefore(from) && !line.time().isAfter(to))
                .filter(line -> concerns(line, entries, endpoints))
                .sorted(Comparator.comparing(DecisionLine::time))
                .collect(ImmutableList.toImmutableList());
        return new RequestTimeline(own, beliefs);
    }

    private static boolean concerns(DecisionLine line, Set<String> entries, Set<String> endpoints) {
        String endpoint = line.field(ENDPOINT);
        return endpoint.isEmpty() ? entries.contains(line.entry()) : endpoints.contains(endpoint);
    }

    public boolean isKnown() {
        return !own.isEmpty();
    }

    /** One line for each decision, in order, with the milliseconds since the first one of the request. */
    public String text() {
        Instant start = own.get(0).time();
        StringBuilder text = new StringBuilder();
        if (!beliefs.isEmpty()) {
            text.append("What the entries believed:\n");
            beliefs.forEach(line -> append(text, start, line));
        }
        text.append("What was decided on the request:\n");
        own.forEach(line -> append(text, start, line));
        return text.toString();
    }

    private static void append(StringBuilder text, Instant start, DecisionLine line) {
        long millis = Duration.between(start, line.time()).toMillis();
        text.append(String.format("%8d ms  %-20s %s%n", millis, line.entry(), line.text()));
    }
}

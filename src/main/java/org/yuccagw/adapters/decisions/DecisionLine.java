package org.yuccagw.adapters.decisions;

import com.google.common.collect.ImmutableMap;
import java.time.Instant;
import java.time.OffsetDateTime;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeParseException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One parsed line of the decision log.
 *
 * <p>Example: {@code 2026-06-25T18:41:09,138+0000 INFO decisions event="placed" endpoint="i-1" request="9c41"}. A log
 * collector of several entries may insert further text before the time, which ends with the name of the entry.
 *
 * @param time the time of the decision; the line itself may have been written later
 * @param entry the entry that wrote the line: the last word before the time, or else the source given by the reader
 * @param event the name of the event
 * @param fields the values of the fields by name, including the event
 */
public record DecisionLine(Instant time, String entry, String event, ImmutableMap<String, String> fields) {
    private static final Pattern LINE = Pattern.compile("^(?<before>.*?)"
            + "(?<time>\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d,\\d{3}[+-]\\d{4})"
            + " +\\w+ +decisions +(?<rest>.*)$");

    private static final Pattern FIELD = Pattern.compile("(?<name>\\w+)=\"(?<value>[^\"]*)\"");
    private static final DateTimeFormatter TIME = DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss,SSSZ");
    private static final String EVENT = "event";
    private static final String DELAYED = "delayed_ms";

    /**
     * Parses one line of output.
     *
     * @param source name of the entry for lines without one
     * @return empty if the line isn't from the decision log
     */
    public static Optional<DecisionLine> parse(String line, String source) {
        Matcher matcher = LINE.matcher(line);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        ImmutableMap<String, String> fields = fields(matcher.group("rest"));
        if (!fields.containsKey(EVENT)) {
            return Optional.empty();
        }
        try {
            Instant written = OffsetDateTime.parse(matcher.group("time"), TIME).toInstant();
            Instant time = written.minusMillis(delayMillis(fields));
            String entry = lastWord(matcher.group("before")).orElse(source);
            return Optional.of(new DecisionLine(time, entry, fields.get(EVENT), fields));
        } catch (DateTimeParseException invalid) {
            // Matches the pattern of a time but isn't a valid one, so the line isn't from the decision log.
            return Optional.empty();
        }
    }

    /** Returns the delay between the decision and the writing of the line; 0 if there is no such field, as for most. */
    private static long delayMillis(ImmutableMap<String, String> fields) {
        try {
            return Long.parseLong(fields.getOrDefault(DELAYED, "0"));
        } catch (NumberFormatException invalid) {
            // Written by another program; the time of writing is the best estimate of the time of the decision.
            return 0;
        }
    }

    private static ImmutableMap<String, String> fields(String text) {
        ImmutableMap.Builder<String, String> fields = ImmutableMap.builder();
        Matcher matcher = FIELD.matcher(text);
        while (matcher.find()) {
            fields.put(matcher.group("name"), matcher.group("value"));
        }
        return fields.buildKeepingLast();
    }

    private static Optional<String> lastWord(String text) {
        String trimmed = text.trim();
        String word = trimmed.substring(trimmed.lastIndexOf(' ') + 1);
        return word.isEmpty() ? Optional.empty() : Optional.of(word);
    }

    /** Returns the value of a field, or an empty string if the line has no such field. */
    public String field(String name) {
        return fields.getOrDefault(name, "");
    }

    /** Returns the event, followed by the other fields that aren't empty in the order in which they were written. */
    public String text() {
        StringBuilder text = new StringBuilder(event);
        fields.forEach((name, value) -> {
            if (!name.equals(EVENT) && !value.isEmpty()) {
                text.append(' ').append(name).append('=').append(value);
            }
        });
        return text.toString();
    }
}

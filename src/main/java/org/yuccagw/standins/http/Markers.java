package org.yuccagw.standins.http;

import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;

/**
 * Extracts the words that start with {@code marker-}. Tests put them into prompts and bodies to identify their records.
 */
public final class Markers {
    private static final Pattern MARKER = Pattern.compile("marker-[A-Za-z0-9-]+");

    private Markers() {}

    /** Returns the distinct markers of a text, in the order of their first occurrence. */
    public static List<String> in(String text) {
        return MARKER.matcher(text).results().map(MatchResult::group).distinct().toList();
    }
}

package org.yuccagw.adapters.settings;

import java.util.Collection;
import java.util.Comparator;

/**
 * Finds the known name that is nearest to a misspelled one by edit distance, which counts insertions, deletions and
 * replacements of single characters (Levenshtein distance). Of equally near names it returns the alphabetically first.
 *
 * <p>Example: {@code ownr} is one insertion from {@code owner} and four edits from {@code class}.
 */
final class NearestName {
    private NearestName() {}

    /** Returns the nearest of the known names, or an empty string if there are none. */
    static String of(String name, Collection<String> known) {
        return known.stream()
                .min(Comparator.<String>comparingInt(candidate -> distance(name, candidate))
                        .thenComparing(Comparator.naturalOrder()))
                .orElse("");
    }

    /** Computes the edit distance by dynamic programming, with one row of the table in memory. */
    private static int distance(String left, String right) {
        int[] row = new int[right.length() + 1];
        for (int j = 0; j <= right.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= left.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= right.length(); j++) {
                int replacement = diagonal + (left.charAt(i - 1) == right.charAt(j - 1) ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(replacement, 1 + Math.min(row[j], row[j - 1]));
            }
        }
        return row[right.length()];
    }
}

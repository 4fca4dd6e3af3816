package org.yuccagw.standins;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * The textual options of one stand-in. Each read records the name of its option, so that {@link #requireAllKnown} can
 * reject options that the stand-in doesn't have.
 */
final class StandInOptions {
    private final String standIn;
    private final Map<String, String> values;
    private final Set<String> knownNames = new TreeSet<>();

    StandInOptions(String standIn, Map<String, String> values) {
        this.standIn = standIn;
        this.values = Map.copyOf(values);
    }

    String text(String name, String defaultValue) {
        return read(name, Function.identity()).orElse(defaultValue);
    }

    int integer(String name, int defaultValue) {
        return read(name, Integer::parseInt).orElse(defaultValue);
    }

    long number(String name, long defaultValue) {
        return read(name, Long::parseLong).orElse(defaultValue);
    }

    double decimal(String name, double defaultValue) {
        return read(name, Double::parseDouble).orElse(defaultValue);
    }

    /**
     * Rejects options that have not been read; called after all reads.
     *
     * @throws IllegalArgumentException if an option was passed that the stand-in doesn't have
     */
    void requireAllKnown() {
        for (String name : new TreeSet<>(values.keySet())) {
            if (!knownNames.contains(name)) {
                throw new IllegalArgumentException(
                        "stand-in '" + standIn + "' has no option '" + name + "'; it takes " + knownNames);
            }
        }
    }

    private <T> Optional<T> read(String name, Function<String, T> parser) {
        knownNames.add(name);
        try {
            return Optional.ofNullable(values.get(name)).map(parser);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(
                    "stand-in '" + standIn + "', option '" + name + "': expected a number, found '" + values.get(name)
                            + "'",
                    e);
        }
    }
}

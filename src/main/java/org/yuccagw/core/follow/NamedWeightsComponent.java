package org.yuccagw.core.follow;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.fleet.ModelWeights;

/**
 * Tracks which weights operators named, and how long an engine that runs older weights has been behind.
 *
 * <p>Newer weights may be named before all engines have loaded the previously named ones, and each naming has its own
 * time limit. An engine has therefore been behind since the first naming that it hasn't followed, not since the newest.
 *
 * <p>Example: version 2 is named at 10 s and version 3 at 14 s. An engine that still runs version 1 has been behind
 * since 10 s, one that runs version 2 since 14 s; both are to load version 3.
 *
 * <p>An entry that has just started can't determine when the weights that it finds were named. It assumes that all of
 * the allowed time but {@link #ALLOWED_AT_START} has passed since.
 */
public final class NamedWeightsComponent implements ControlComponent {
    /**
     * How long a starting entry still accepts engines with older weights; the platform doesn't enforce its limit on the
     * entry before that.
     */
    private static final Duration ALLOWED_AT_START = Duration.ofMillis(2500);

    private final Duration oldWeightsAllowed;
    private final Map<String, ArrayDeque<Naming>> namings = new HashMap<>();

    private record Naming(long version, long sinceNanos) {}

    private NamedWeightsComponent(Duration oldWeightsAllowed) {
        this.oldWeightsAllowed = oldWeightsAllowed;
    }

    /**
     * Creates a component without any namings.
     *
     * @param oldWeightsAllowed how long requests may still start on older weights after newer ones were named
     */
    public static NamedWeightsComponent of(Duration oldWeightsAllowed) {
        return new NamedWeightsComponent(oldWeightsAllowed);
    }

    @Override
    public void handle(ControlEvent event, ControlContext context) {
        if (event instanceof KeyValueRecordUpdated updated
                && updated.record() instanceof KeyValueRecord.WeightsNamed named) {
            long assumedAgeNanos = oldWeightsAllowed.minus(ALLOWED_AT_START).toNanos();
            addNaming(named.weights(), context.nowNanos() - (updated.ageUnknown() ? assumedAgeNanos : 0), context);
        }
    }

    private void addNaming(ModelWeights weights, long sinceNanos, ControlContext context) {
        ArrayDeque<Naming> known = namings.computeIfAbsent(weights.model(), model -> new ArrayDeque<>());
        if (known.isEmpty() || known.peekLast().version() < weights.version()) {
            known.addLast(new Naming(weights.version(), sinceNanos));
            context.perform(
                    Decision.of("weights-named").with("model", weights.model()).with("version", weights.version()));
            context.raise(new Named(weights));
        }
    }

    /** Raised when newer weights of a model were named. */
    public record Named(ModelWeights weights) implements ControlEvent {}

    /** Returns the newest named version of the model's weights; empty if none was named. */
    public OptionalLong newest(String model) {
        ArrayDeque<Naming> known = namings.get(model);
        return known == null
                ? OptionalLong.empty()
                : OptionalLong.of(known.peekLast().version());
    }

    /** Returns whether weights newer than {@code version} were named. */
    public boolean isBehind(String model, long version) {
        return newest(model).orElse(0) > version;
    }

    /** Returns how long an engine that runs {@code version} has been behind; zero if it isn't behind. */
    public Duration behindFor(String model, long version, long nowNanos) {
        ArrayDeque<Naming> known = namings.getOrDefault(model, new ArrayDeque<>());
        for (Naming naming : known) {
            if (naming.version() > version) {
                return Duration.ofNanos(Math.max(1, nowNanos - naming.sinceNanos()));
            }
        }
        return Duration.ZERO;
    }

    /** Returns the models for which weights were named. */
    public ImmutableSet<String> models() {
        return ImmutableSet.copyOf(namings.keySet());
    }

    /** Returns the newest version of a model that was named at least {@code age} ago; empty if there is none. */
    public OptionalLong newestOlderThan(String model, Duration age, long nowNanos) {
        return namings.getOrDefault(model, new ArrayDeque<>()).stream()
                .filter(naming -> nowNanos - naming.sinceNanos() >= age.toNanos())
                .mapToLong(Naming::version)
                .max();
    }

    /** Returns how long requests may still start on older weights after newer ones were named. */
    public Duration oldWeightsAllowed() {
        return oldWeightsAllowed;
    }
}

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
 * Which weights operators named, and since when an engine that runs older ones is behind.
 *
 * <p>Newer weights may be named before the ones before them are in place everywhere, and each naming has its own time
 * limit. So an engine is behind since the first naming that it hasn't followed, not since the newest.
 *
 * <p>Example: version 2 is named at 10 s and version 3 at 14 s. An engine that still runs version 1 is behind since
 * 10 s, one that runs version 2 since 14 s; both are to load version 3.
 *
 * <p>An entry that has just started can't know when the weights that it finds were named. It takes that for nearly all
 * of the allowed time ago.
 */
public final class NamedWeightsComponent implements ControlComponent {
    /** What a starting entry allows itself; the platform doesn't hold it to the limit before that. */
    private static final Duration LEFT_AT_START = Duration.ofMillis(2500);

    private final Duration oldWeightsAllowed;
    private final Map<String, ArrayDeque<Naming>> namings = new HashMap<>();

    private record Naming(long version, long sinceNanos) {}

    private NamedWeightsComponent(Duration oldWeightsAllowed) {
        this.oldWeightsAllowed = oldWeightsAllowed;
    }

    /**
     * The namings of all models.
     *
     * @param oldWeightsAllowed how long after newer weights were named requests may begin on older ones
     */
    public static NamedWeightsComponent of(Duration oldWeightsAllowed) {
        return new NamedWeightsComponent(oldWeightsAllowed);
    }

    @Override
    public void handle(ControlEvent event, ControlContext context) {
        if (event instanceof KeyValueRecordUpdated updated
                && updated.record() instanceof KeyValueRecord.WeightsNamed named) {
            long unknownNanos = oldWeightsAllowed.minus(LEFT_AT_START).toNanos();
            take(named.weights(), context.nowNanos() - (updated.ageUnknown() ? unknownNanos : 0), context);
        }
    }

    private void take(ModelWeights weights, long sinceNanos, ControlContext context) {
        ArrayDeque<Naming> known = namings.computeIfAbsent(weights.model(), model -> new ArrayDeque<>());
        if (known.isEmpty() || known.peekLast().version() < weights.version()) {
            known.addLast(new Naming(weights.version(), sinceNanos));
            context.perform(
                    Decision.of("weights-named").with("model", weights.model()).with("version", weights.version()));
            context.raise(new Named(weights));
        }
    }

    /** Newer weights of a model were named. */
    public record Named(ModelWeights weights) implements ControlEvent {}

    /** The newest named version; empty if none was named. */
    public OptionalLong newest(String model) {
        ArrayDeque<Naming> known = namings.get(model);
        return known == null
                ? OptionalLong.empty()
                : OptionalLong.of(known.peekLast().version());
    }

    /** Whether newer weights than {@code version} were named. */
    public boolean isBehind(String model, long version) {
        return newest(model).orElse(0) > version;
    }

    /** How long an engine that runs {@code version} has been behind; zero if it isn't. */
    public Duration behindFor(String model, long version, long nowNanos) {
        ArrayDeque<Naming> known = namings.getOrDefault(model, new ArrayDeque<>());
        for (Naming naming : known) {
            if (naming.version() > version) {
                return Duration.ofNanos(Math.max(1, nowNanos - naming.sinceNanos()));
            }
        }
        return Duration.ZERO;
    }

    /** The models for which weights were named. */
    public ImmutableSet<String> models() {
        return ImmutableSet.copyOf(namings.keySet());
    }

    /** The newest version of a model that was named at least {@code age} ago; empty if there is none. */
    public OptionalLong newestOlderThan(String model, Duration age, long nowNanos) {
        return namings.getOrDefault(model, new ArrayDeque<>()).stream()
                .filter(naming -> nowNanos - naming.sinceNanos() >= age.toNanos())
                .mapToLong(Naming::version)
                .max();
    }

    /** How long after newer weights were named requests may begin on older ones. */
    public Duration oldWeightsAllowed() {
        return oldWeightsAllowed;
    }
}

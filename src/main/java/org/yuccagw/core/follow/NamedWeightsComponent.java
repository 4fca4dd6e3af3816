package org.yuccagw.core.follow;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.control.PeerReceived;
import org.yuccagw.core.fleet.ModelWeights;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.lease.Moment;

/**
 * Tracks which weights operators named, and how long an engine that runs older weights has been behind.
 *
 * <p>Newer weights may be named before all engines have loaded the previously named ones, and each naming has its own
 * time limit. An engine has therefore been behind since the first naming that it hasn't followed, not since the newest.
 *
 * <p>Example: version 2 is named at 10 s and version 3 at 14 s. An engine that still runs version 1 has been behind
 * since 10 s, one that runs version 2 since 14 s; both are to load version 3.
 *
 * <p>The limit runs from the naming, whenever this entry learns of it: an entry that was suspended or cut off learns
 * late. It counts from the earliest moment at which the naming may have happened (see {@link Naming}), and asks other
 * entries, which may know it more exactly. An entry that has just started and gets no answer assumes that all of the
 * allowed time but {@link #ALLOWED_AT_START} had passed at its start. That assumption isn't told to others.
 */
public final class NamedWeightsComponent implements ControlComponent {
    /**
     * How long a starting entry still accepts engines with older weights; the platform doesn't enforce its limit on the
     * entry before that.
     */
    private static final Duration ALLOWED_AT_START = Duration.ofMillis(2500);

    /** When others are asked after this entry has learnt of a naming; they may learn of it a little later. */
    private static final List<Duration> ROUNDS =
            List.of(Duration.ofMillis(5), Duration.ofMillis(60), Duration.ofMillis(300), Duration.ofSeconds(1));

    /** This many answers suffice, since each of them is a bound by itself. */
    private static final int SUFFICIENT_ANSWERS = 5;

    private final Duration oldWeightsAllowed;
    private final Supplier<List<EntryId>> others;
    private final Map<String, ArrayDeque<Naming>> namings = new HashMap<>();
    private ControlContext context;
    private Moment started;

    private NamedWeightsComponent(Duration oldWeightsAllowed, Supplier<List<EntryId>> others) {
        this.oldWeightsAllowed = oldWeightsAllowed;
        this.others = others;
    }

    /**
     * Creates a component without any namings.
     *
     * @param oldWeightsAllowed how long requests may still start on older weights after newer ones were named
     * @param others returns the entries that are asked when weights were named
     */
    public static NamedWeightsComponent of(Duration oldWeightsAllowed, Supplier<List<EntryId>> others) {
        return new NamedWeightsComponent(oldWeightsAllowed, others);
    }

    @Override
    public void start(ControlContext startContext) {
        context = startContext;
        started = Moment.now(context);
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof KeyValueRecordUpdated updated
                && updated.record() instanceof KeyValueRecord.WeightsNamed named) {
            addNaming(named.weights(), updated.notBefore());
        } else if (event instanceof PeerReceived received && received.message() instanceof NamingMessage message) {
            receive(received.from(), message);
        }
    }

    private void addNaming(ModelWeights weights, Optional<Moment> earliest) {
        Deque<Naming> known = namings.computeIfAbsent(weights.model(), model -> new ArrayDeque<>());
        if (known.isEmpty() || known.peekLast().weights().version() < weights.version()) {
            Naming naming = new Naming(weights, earliest, Moment.now(context));
            known.addLast(naming);
            logAge("weights-named", naming);
            context.raise(new Named(weights));
            ROUNDS.forEach(delay -> context.after(delay, () -> ask(naming)));
        }
    }

    /** Raised when newer weights of a model were named. */
    public record Named(ModelWeights weights) implements ControlEvent {}

    private void ask(Naming naming) {
        if (naming.answerCount() >= SUFFICIENT_ANSWERS) {
            return;
        }
        NamingMessage.Question question = naming.ask(Moment.now(context));
        others.get().stream()
                .filter(entry -> !entry.equals(context.self().entry()))
                .forEach(entry -> context.send(entry, question));
    }

    private void receive(EntryId from, NamingMessage message) {
        if (message instanceof NamingMessage.Question question) {
            find(question.weights())
                    .ifPresent(naming -> context.send(from, naming.answerTo(question, Moment.now(context))));
        } else if (message instanceof NamingMessage.Age age) {
            find(age.weights()).ifPresent(naming -> {
                naming.recordAnswer(from, age);
                logAge("naming-age-received", naming);
            });
        }
    }

    private Optional<Naming> find(ModelWeights weights) {
        return namings.getOrDefault(weights.model(), new ArrayDeque<>()).stream()
                .filter(naming -> naming.weights().equals(weights))
                .findFirst();
    }

    private void logAge(String event, Naming naming) {
        Moment now = Moment.now(context);
        context.perform(Decision.of(event)
                .with("model", naming.weights().model())
                .with("version", naming.weights().version())
                .with("answers", naming.answerCount())
                .with("rounds", naming.rounds())
                .with("age_known", naming.earliest().isPresent())
                .with("max_age_ms", maxAge(naming, now).toMillis())
                .with("min_age_ms", naming.latest().until(now).toMillis()));
    }

    /** Returns the newest named version of the model's weights; empty if none was named. */
    public OptionalLong newest(String model) {
        ArrayDeque<Naming> known = namings.get(model);
        return known == null
                ? OptionalLong.empty()
                : OptionalLong.of(known.peekLast().weights().version());
    }

    /** Returns whether weights newer than {@code version} were named. */
    public boolean isBehind(String model, long version) {
        return newest(model).orElse(0) > version;
    }

    /** Returns how long an engine that runs {@code version} has been behind at most; zero if it isn't behind. */
    public Duration behindFor(String model, long version) {
        for (Naming naming : namings.getOrDefault(model, new ArrayDeque<>())) {
            if (naming.weights().version() > version) {
                return maxAge(naming, Moment.now(context));
            }
        }
        return Duration.ZERO;
    }

    private Duration maxAge(Naming naming, Moment now) {
        Duration assumedAtStart = oldWeightsAllowed.minus(ALLOWED_AT_START);
        return naming.maxAge(now, assumedAtStart.plus(started.until(now)));
    }

    /**
     * Returns for how long requests may still begin on a version; empty if no newer one was named, so that there is no
     * limit. Zero if the time is over.
     */
    public Optional<Duration> remaining(String model, long version) {
        if (!isBehind(model, version)) {
            return Optional.empty();
        }
        Duration remaining = oldWeightsAllowed.minus(behindFor(model, version));
        return Optional.of(remaining.isNegative() ? Duration.ZERO : remaining);
    }

    /** Returns the models for which weights were named. */
    public ImmutableSet<String> models() {
        return ImmutableSet.copyOf(namings.keySet());
    }

    /** Returns the newest version of a model that was surely named at least {@code age} ago; empty if there is none. */
    public OptionalLong newestOlderThan(String model, Duration age) {
        return namings.getOrDefault(model, new ArrayDeque<>()).stream()
                .filter(naming -> naming.latest().until(Moment.now(context)).compareTo(age) >= 0)
                .mapToLong(naming -> naming.weights().version())
                .max();
    }

    /** Returns how long requests may still start on older weights after newer ones were named. */
    public Duration oldWeightsAllowed() {
        return oldWeightsAllowed;
    }
}

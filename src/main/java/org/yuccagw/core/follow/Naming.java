package org.yuccagw.core.follow;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.yuccagw.core.fleet.ModelWeights;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.lease.Moment;

/**
 * Weights that operators named, with the two moments between which they did. Only what is known is recorded here: a
 * naming of which nobody can tell the earliest moment has none.
 *
 * <p>An entry knows until when its copy of the key-value service had surely included every write, so that the naming
 * came later. Entries that received it sooner, or whose copies were confirmed later, know better and are asked. An
 * answer states ages, and may have waited for long before it is received. It was certainly made after its question was
 * sent, so ages count back from then, and the result errs to the earlier side only.
 */
final class Naming {
    private final ModelWeights weights;
    private final List<Moment> askedAt = new ArrayList<>();
    private final Set<EntryId> answered = new HashSet<>();
    private Optional<Moment> earliest;
    private Moment latest;

    /**
     * Creates the record of a naming.
     *
     * @param earliest the naming didn't precede this moment; empty if it is unknown
     * @param latest the naming didn't follow this moment
     */
    Naming(ModelWeights weights, Optional<Moment> earliest, Moment latest) {
        this.weights = weights;
        this.earliest = earliest;
        this.latest = latest;
    }

    ModelWeights weights() {
        return weights;
    }

    /** Returns the moment that the naming didn't precede; empty if it is unknown. */
    Optional<Moment> earliest() {
        return earliest;
    }

    /** Returns the moment that the naming didn't follow. */
    Moment latest() {
        return latest;
    }

    /** Records that other entries are asked now; returns the question. */
    NamingMessage.Question ask(Moment now) {
        askedAt.add(now);
        return new NamingMessage.Question(weights, askedAt.size() - 1);
    }

    int rounds() {
        return askedAt.size();
    }

    /** Returns the number of other entries that stated an earliest moment. */
    int answerCount() {
        return answered.size();
    }

    NamingMessage.Age answerTo(NamingMessage.Question question, Moment now) {
        return new NamingMessage.Age(
                weights, question.round(), earliest.map(moment -> moment.until(now)), latest.until(now));
    }

    void recordAnswer(EntryId from, NamingMessage.Age age) {
        if (age.round() < 0 || age.round() >= askedAt.size()) {
            return;
        }
        Moment asked = askedAt.get(age.round());
        Moment knownThere = asked.minus(age.minAge());
        latest = knownThere.isBefore(latest) ? knownThere : latest;
        age.maxAge().ifPresent(maxAge -> {
            answered.add(from);
            recordEarliest(asked.minus(maxAge));
        });
    }

    /**
     * Adds another moment that the naming didn't precede. Usually the later one tells more. One that is later than the
     * naming was known somewhere is that of another write of the same weights, as after a restoration of the service.
     */
    private void recordEarliest(Moment stated) {
        Moment known = earliest.orElse(stated);
        Moment later = known.isBefore(stated) ? stated : known;
        Moment earlier = known.isBefore(stated) ? known : stated;
        earliest = Optional.of(latest.isBefore(later) ? earlier : later);
    }

    /** Returns how long ago the weights were named at most; the given time if nobody knows. */
    Duration maxAge(Moment now, Duration ifUnknown) {
        return earliest.map(moment -> moment.until(now)).orElse(ifUnknown);
    }
}

package org.yuccagw.core.request;

import java.util.Optional;
import org.yuccagw.core.id.SoftwareVersion;
import org.yuccagw.core.id.WeightVersion;

/** The versions that have produced the first part of an answer, which every later attempt must run as well. */
final class PinnedVersions {
    private Optional<WeightVersion> weights = Optional.empty();
    private Optional<SoftwareVersion> software = Optional.empty();

    private PinnedVersions() {}

    /** Returns the versions of an answer that hasn't begun. */
    static PinnedVersions none() {
        return new PinnedVersions();
    }

    /** Pins the versions of an answer that another request began. */
    void resume(RequestProfile.ResumePoint point) {
        weights = Optional.of(point.version());
        software = point.software();
    }

    /** Pins the versions of the head of an answer. */
    void record(AnswerHead head) {
        weights = Optional.of(WeightVersion.of(head.version()));
        software = Optional.of(head.software());
    }

    Optional<WeightVersion> weights() {
        return weights;
    }

    Optional<SoftwareVersion> software() {
        return software;
    }

    /** Returns whether an answer with this head may continue the one that has begun. */
    boolean permit(AnswerHead head) {
        boolean sameWeights =
                weights.map(pinned -> pinned.value().equals(head.version())).orElse(true);
        return sameWeights && software.map(head.software()::equals).orElse(true);
    }

    /** Returns whether another engine may be found for the answer: none can be if its software isn't known. */
    boolean mayMove() {
        return weights.isEmpty() || software.isPresent();
    }
}

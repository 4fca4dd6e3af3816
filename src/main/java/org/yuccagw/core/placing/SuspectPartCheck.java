package org.yuccagw.core.placing;

import java.time.Duration;
import java.util.Optional;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.suspect.SuspectPart;
import org.yuccagw.core.suspect.SuspectPartsComponent;

/** Refuses prompts with a part that makes endpoints crash. */
public final class SuspectPartCheck {
    /** Longer than callers wait for an answer, so that they don't send the same request again. */
    static final Duration RETRY_AFTER = Duration.ofSeconds(20);

    private final SuspectPartsComponent suspects;

    private SuspectPartCheck(SuspectPartsComponent suspects) {
        this.suspects = suspects;
    }

    /** Creates the check of one entry. */
    public static SuspectPartCheck of(SuspectPartsComponent suspects) {
        return new SuspectPartCheck(suspects);
    }

    /** Returns why the request is refused; empty if it isn't. */
    Optional<YuccagwException> refusalOf(PlacementRequest request) {
        if (!suspects.isRefusing() || request.prompt().isEmpty()) {
            return Optional.empty();
        }
        return suspects.refusedPart(SuspectPart.sharedPartsOf(request.prompt().get()))
                .map(part -> ErrorKind.SUSPECT_REQUEST.raise(part.crashes()).withRetryAfter(RETRY_AFTER));
    }
}

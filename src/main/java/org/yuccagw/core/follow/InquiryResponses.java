package org.yuccagw.core.follow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.port.KeyValueRevision;

/** Which entries an inquiry has asked, and how they have responded. */
final class InquiryResponses {
    private final Set<EntryId> asked = new HashSet<>();
    private final Set<EntryId> askedFirst = new HashSet<>();
    private final Set<EntryId> starting = new HashSet<>();
    private final Map<EntryId, CopyCoverage> answers = new HashMap<>();

    void clear() {
        asked.clear();
        askedFirst.clear();
        starting.clear();
        answers.clear();
    }

    void recordAsked(EntryId entry) {
        asked.add(entry);
    }

    /** Records that the first round ends with the entries asked so far, if none has ended before. */
    void endFirstRound() {
        if (askedFirst.isEmpty()) {
            askedFirst.addAll(asked);
        }
    }

    /** Records what the answer of an entry covers; ignored unless it was asked. */
    void recordAnswer(EntryId from, CopyCoverage coverage) {
        if (asked.contains(from)) {
            answers.put(from, coverage);
        }
    }

    /** Records that an entry is starting as well; ignored unless it was asked. */
    void recordStarting(EntryId from) {
        if (asked.contains(from)) {
            starting.add(from);
        }
    }

    int answerCount() {
        return answers.size();
    }

    boolean includeAnswer() {
        return !answers.isEmpty();
    }

    boolean includeStartingEntry() {
        return !starting.isEmpty();
    }

    /** Returns whether all of the given entries, of which there is at least one, have responded. */
    boolean includeAll(List<EntryId> known) {
        return !known.isEmpty() && known.stream().allMatch(this::include);
    }

    /** Returns whether all that were asked in the first round have responded. */
    boolean includeFirstRound() {
        return !askedFirst.isEmpty() && askedFirst.stream().allMatch(this::include);
    }

    /** Returns whether all that were asked have responded. */
    boolean includeAllAsked() {
        return asked.stream().allMatch(this::include);
    }

    private boolean include(EntryId entry) {
        return answers.containsKey(entry) || starting.contains(entry);
    }

    /** Returns the entries to ask: those that weren't asked yet or, if there are none, those that haven't answered. */
    List<EntryId> toAsk(List<EntryId> known) {
        List<EntryId> unanswered = new ArrayList<>(known);
        unanswered.removeAll(answers.keySet());
        List<EntryId> notAsked = new ArrayList<>(unanswered);
        notAsked.removeAll(asked);
        return notAsked.isEmpty() ? unanswered : notAsked;
    }

    /**
     * Returns the number of answers that cover the time before the last restoration as far as any answer does.
     *
     * @param presentRevision a revision of the present era
     */
    long coveringAnswers(long presentRevision) {
        long newest = answers.values().stream()
                .mapToLong(coverage -> coverage.lastOfEraBefore(presentRevision))
                .max()
                .orElse(KeyValueRevision.NONE);
        return answers.values().stream()
                .filter(coverage -> coverage.isCorrected()
                        || (newest != KeyValueRevision.NONE && coverage.lastOfEraBefore(presentRevision) == newest))
                .count();
    }
}

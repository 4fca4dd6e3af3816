package org.yuccagw.core.suspect;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.ControlSnapshot;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.control.PeerReceived;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.port.PeerMessage;

/**
 * Refuses prompts with a part that makes one endpoint after the other crash, whatever else the prompts hold.
 *
 * <p>Entries that decide for others exchange what their attempts were lost with, and which suspected parts were
 * answered since. Each of them finds out by {@link CrashRecords} which part is to blame and tells all entries. It
 * repeats that as long as the part is refused, for entries that have started since or that missed the message. Answers
 * are only told if they clear a part, and together, so that the number of messages doesn't grow with that of answers.
 *
 * <p>Invariant: an answer clears a part at every entry, also one that is refused already.
 */
public final class SuspectPartsComponent implements ControlComponent {
    private static final Duration CLEAR_INTERVAL = Duration.ofMillis(100);

    /** An entry that can be reached again after a cut must know the refused parts within three seconds. */
    private static final Duration REMINDER_INTERVAL = Duration.ofMillis(1_500);

    /** How this entry learned that a part is to be refused, for its log. */
    private static final String FOUND = "crashes";

    private static final String TOLD = "told";

    private final Fleet fleet;
    private final CrashRecords records = new CrashRecords();
    private final RefusedParts refused = new RefusedParts();
    private final Set<SuspectPart> cleared = new LinkedHashSet<>();
    private boolean clearedRefused;
    private boolean checkScheduled;
    private ControlContext context;

    /** The other entries. */
    public interface Fleet {
        /** Returns whether this entry repeats to others what is refused. At least one entry does for each other one. */
        boolean isReminding();

        /** Sends to all other entries that decide on prompts. */
        void sendToDeciding(PeerMessage message);

        /** Sends to all other entries that decide on prompts, and to those that rely on this one. */
        void sendToAll(PeerMessage message);
    }

    private SuspectPartsComponent(Fleet fleet) {
        this.fleet = fleet;
    }

    /** Creates the component of one entry. */
    public static SuspectPartsComponent of(Fleet fleet) {
        return new SuspectPartsComponent(fleet);
    }

    @Override
    public void start(ControlContext startContext) {
        context = startContext;
        context.after(REMINDER_INTERVAL, this::remind);
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof EndpointCrashed crashed) {
            addCrash(crashed.endpoint(), crashed.attempts());
            fleet.sendToDeciding(new SuspectMessage.CrashReported(crashed.endpoint(), crashed.attempts()));
        } else if (event instanceof PromptAnswered answered) {
            recordAnswer(answered::parts);
        } else if (event instanceof PeerReceived received && received.message() instanceof SuspectMessage message) {
            receive(message);
        }
    }

    @Override
    public void contribute(ControlSnapshot.Builder snapshot) {
        ImmutableList<SuspectMessage.Refused> parts =
                refused.isEmpty() ? ImmutableList.of() : refused.all(context.nowNanos());
        snapshot.put(SuspectPartsSnapshot.class, new SuspectPartsSnapshot(records.size(), parts));
    }

    /** Returns the first part of a prompt that is refused; empty if there is none. Prolongs its refusal. */
    public Optional<SuspectMessage.Refused> refusedPart(Iterable<SuspectPart> parts) {
        if (refused.isEmpty()) {
            return Optional.empty();
        }
        for (SuspectPart part : parts) {
            Optional<Integer> crashes = refused.prolong(part, context.nowNanos());
            if (crashes.isPresent()) {
                return Optional.of(new SuspectMessage.Refused(part, crashes.get(), Duration.ZERO, Duration.ZERO));
            }
        }
        return Optional.empty();
    }

    /** Returns all refused parts, for an entry that has just started. */
    public ImmutableList<SuspectMessage.Refused> refusedParts() {
        return refused.all(context.nowNanos());
    }

    /** Refuses parts that another entry refuses. */
    public void refuseAll(Iterable<SuspectMessage.Refused> parts) {
        parts.forEach(part -> refuse(part, TOLD));
    }

    /** Returns whether any part is refused. */
    public boolean isRefusing() {
        return !refused.isEmpty();
    }

    /**
     * Records that an endpoint certainly answered a whole prompt.
     *
     * @param parts returns the shared parts of the prompt; called only if any part is suspected
     */
    public void recordAnswer(Supplier<ImmutableSet<SuspectPart>> parts) {
        if (records.isEmpty() && refused.isEmpty()) {
            return;
        }
        for (SuspectPart part : parts.get()) {
            records.recordAnswer(part.model());
            if (refused.contains(part) || records.has(part)) {
                tellCleared(part);
                clear(part);
            }
        }
    }

    private void receive(SuspectMessage message) {
        if (message instanceof SuspectMessage.CrashReported reported) {
            addCrash(reported.endpoint(), reported.attempts());
        } else if (message instanceof SuspectMessage.PartsCleared answered) {
            answered.parts().forEach(this::clear);
        } else if (message instanceof SuspectMessage.PartsRefused told) {
            refuseAll(told.parts());
        }
    }

    // Crashes

    private void addCrash(EndpointIncarnation endpoint, List<LostAttempt> attempts) {
        attempts.forEach(attempt -> records.add(endpoint, attempt, context.nowNanos()));
        scheduleCheck();
    }

    private void scheduleCheck() {
        if (!checkScheduled && records.mayBlame(refused)) {
            checkScheduled = true;
            context.after(CrashRecords.CHECK_INTERVAL, this::check);
        }
    }

    private void check() {
        checkScheduled = false;
        records.blamed(refused, context.nowNanos()).forEach(this::blame);
        scheduleCheck();
    }

    private void blame(SuspectPart part) {
        SuspectMessage.Refused blamed =
                new SuspectMessage.Refused(part, records.crashes(part), Duration.ZERO, Duration.ZERO);
        if (refuse(blamed, FOUND)) {
            fleet.sendToAll(new SuspectMessage.PartsRefused(ImmutableList.of(blamed)));
        }
    }

    private boolean refuse(SuspectMessage.Refused part, String reason) {
        boolean added = refused.add(part, context.nowNanos());
        if (added) {
            context.perform(Decision.of("part-refused")
                    .with("part", part.part())
                    .with("crashes", part.crashes())
                    .with("reason", reason));
        }
        return added;
    }

    private void remind() {
        context.after(REMINDER_INTERVAL, this::remind);
        records.expire(context.nowNanos());
        refused.expire(context.nowNanos());
        if (!refused.isEmpty() && fleet.isReminding()) {
            fleet.sendToAll(new SuspectMessage.PartsRefused(refused.all(context.nowNanos())));
        }
    }

    // Answers

    private void clear(SuspectPart part) {
        records.remove(part);
        if (refused.clear(part, context.nowNanos())) {
            context.perform(Decision.of("part-cleared").with("part", part));
        }
    }

    private void tellCleared(SuspectPart part) {
        if (cleared.isEmpty()) {
            context.after(CLEAR_INTERVAL, this::sendCleared);
        }
        cleared.add(part);
        clearedRefused |= refused.contains(part);
    }

    private void sendCleared() {
        SuspectMessage message = new SuspectMessage.PartsCleared(ImmutableSet.copyOf(cleared));
        if (clearedRefused) {
            fleet.sendToAll(message);
        } else {
            fleet.sendToDeciding(message);
        }
        cleared.clear();
        clearedRefused = false;
    }
}

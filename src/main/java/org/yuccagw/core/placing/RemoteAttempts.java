package org.yuccagw.core.placing;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.EntryId;

/**
 * The attempts of this entry that a lead placed, by ticket. The lead is told of their progress. Once it is lost, or no
 * longer counts an attempt, this entry counts it as its own work.
 */
final class RemoteAttempts {
    private final Map<Long, RemoteAttempt> attempts = new HashMap<>();
    private ControlContext context;

    private static final class RemoteAttempt {
        private final EntryId lead;
        private final EndpointIncarnation endpoint;
        private Work work;
        private boolean countedLocally;

        private RemoteAttempt(EntryId lead, EndpointIncarnation endpoint, Work work) {
            this.lead = lead;
            this.endpoint = endpoint;
            this.work = work;
        }
    }

    private RemoteAttempts() {}

    static RemoteAttempts create() {
        return new RemoteAttempts();
    }

    void start(ControlContext controlContext) {
        context = controlContext;
    }

    /** Adds an attempt; its ticket is the negative number of the request to the lead. */
    void add(long ticket, EntryId lead, EndpointIncarnation endpoint, Work work) {
        attempts.put(ticket, new RemoteAttempt(lead, endpoint, work));
    }

    /** Records that an endpoint has started its answer. */
    void begin(AttemptBegun begun) {
        RemoteAttempt attempt = attempts.get(begun.ticket());
        if (attempt == null) {
            return;
        }
        Work previous = attempt.work;
        attempt.work = previous.withoutUnreadTokens();
        if (attempt.countedLocally) {
            context.raise(new WorkTransferred(attempt.endpoint, attempt.work, previous));
        } else {
            context.send(attempt.lead, new PlacementMessage.Begun(-begun.ticket()));
        }
    }

    /** Ends an attempt; returns its endpoint, or empty if no lead placed it. */
    Optional<EndpointIncarnation> end(AttemptEnded ended) {
        RemoteAttempt attempt = attempts.remove(ended.ticket());
        if (attempt == null) {
            return Optional.empty();
        }
        if (attempt.countedLocally) {
            context.raise(new WorkTransferred(attempt.endpoint, Work.NONE, attempt.work));
        } else {
            context.send(attempt.lead, messageOf(ended));
        }
        return Optional.of(attempt.endpoint);
    }

    private static PlacementMessage messageOf(AttemptEnded ended) {
        return new PlacementMessage.Ended(-ended.ticket(), ended.end(), ended.version(), ended.pace(), ended.success());
    }

    /** Counts the attempts that a lead placed as work of this entry, since the lead is lost. */
    void countThoseOf(EntryId lead) {
        attempts.values().stream().filter(attempt -> attempt.lead.equals(lead)).forEach(this::countLocally);
    }

    /** Counts an attempt as work of this entry, since its lead no longer does. */
    void drop(EntryId lead, long ticket) {
        RemoteAttempt attempt = attempts.get(ticket);
        if (attempt != null && attempt.lead.equals(lead)) {
            countLocally(attempt);
        }
    }

    private void countLocally(RemoteAttempt attempt) {
        if (!attempt.countedLocally) {
            attempt.countedLocally = true;
            context.raise(new WorkTransferred(attempt.endpoint, attempt.work, Work.NONE));
        }
    }
}

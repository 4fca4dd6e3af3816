package org.yuccagw.core.placing;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.peers.PeerStatus;

/**
 * The prompts that wait at all entries which place requests, so that the forecast of a wait is that of the fleet.
 *
 * <p>Answers the load at which one failure domain queues and another one doesn't. An entry that assumed as much waiting
 * at every other entry as here would refuse prompts that engines elsewhere could take, and keep prompts waiting behind
 * more urgent ones that it doesn't see.
 *
 * <p>Reports arrive with heartbeats, 0.5 to 1 s apart. An entry that was not heard of for {@link #MAX_AGE} counts as
 * one with as much waiting as here, and so does one that has not reported yet.
 *
 * <p>Example: three entries place. Here 20,000 tokens wait, another entry reports 5,000 and the third is silent. The
 * fleet's queue is 45,000 tokens.
 */
final class FleetQueue {
    /** Two missed heartbeats of a lead. */
    static final Duration MAX_AGE = Duration.ofMillis(1_500);

    private final Map<EntryId, Report> reports = new HashMap<>();

    private record Report(List<PeerStatus.Queued> queued, long receivedNanos) {}

    /** Replaces what an entry reported last. */
    void update(EntryId entry, List<PeerStatus.Queued> queued, long nowNanos) {
        reports.put(entry, new Report(queued, nowNanos));
    }

    /** Removes an entry that has failed. */
    void remove(EntryId entry) {
        reports.remove(entry);
    }

    /**
     * Returns the prompt tokens that precede a prompt in the whole fleet.
     *
     * @param localTokens those that precede it here
     * @param urgency of the prompt
     * @param placers number of entries that place requests, including this one
     * @param isPlacer whether an entry places requests
     */
    long tokensBefore(
            long localTokens,
            ServiceName service,
            int urgency,
            int placers,
            Predicate<EntryId> isPlacer,
            long nowNanos) {
        long tokens = localTokens;
        int unknown = placers - 1;
        for (Map.Entry<EntryId, Report> each : reports.entrySet()) {
            boolean fresh = nowNanos - each.getValue().receivedNanos() <= MAX_AGE.toNanos();
            if (fresh && unknown > 0 && isPlacer.test(each.getKey())) {
                tokens += tokensOf(each.getValue(), service, urgency);
                unknown--;
            }
        }
        return tokens + unknown * localTokens;
    }

    private static long tokensOf(Report report, ServiceName service, int urgency) {
        return report.queued().stream()
                .filter(each -> each.service().equals(service) && each.urgency() <= urgency)
                .mapToLong(PeerStatus.Queued::promptTokens)
                .sum();
    }
}

package org.yuccagw.core.placing;

import java.time.Duration;

/**
 * Decides whether an engine has free capacity for one more prompt, or whether the prompt should wait at its entry.
 *
 * <p>Guards against a growing queue inside the engine. An engine admits whatever fits into its memory and processes it
 * in order of arrival. Urgent prompts then wait behind others, and the queued prompts occupy the memory in which the
 * engine would cache prompt parts for later ones, so that these have to be prefilled again. When a quarter of the
 * engines were silent for 12 s, first tokens took 1.0 to 1.7 s at the median until 6 s after their return, at a load at
 * which they had taken 0.2 s before.
 *
 * <p>Prompts that wait at an entry keep their order by urgency and can still be sent to any engine.
 */
final class EngineCapacity {
    /**
     * Longest prefill queue of the engine, as a share of the shortest target of the service, at which a less urgent
     * prompt is accepted. A more urgent prompt that arrives right after it still starts in time.
     */
    private static final double SHORTEST_TARGET_QUEUE_SHARE = 0.4;

    /** Longest prefill queue at which one of the most urgent prompts is accepted, as a share of its own target. */
    private static final double OWN_TARGET_QUEUE_SHARE = 0.6;

    /**
     * Longest prefill queue at which a late prompt is accepted, so that it only uses capacity that would otherwise stay
     * idle.
     */
    private static final double LATE_QUEUE_MILLIS = 60;

    /**
     * Share of the engine's memory that running requests may use. Answers take seconds, so memory is the first resource
     * to be exhausted, and a larger reserve would make long prompts wait without benefit.
     */
    private static final double MEMORY_SHARE = 0.95;

    /**
     * The same share for prompts whose target is longer than the shortest one of their service. Prompts of the shortest
     * target arrive at any time and would find no free memory under load if one limit applied to all.
     */
    private static final double MEMORY_SHARE_OF_LESS_URGENT = 0.85;

    private EngineCapacity() {}

    /**
     * Returns whether the engine has free capacity for the prompt.
     *
     * @param slots requests that the engine runs at once; further ones wait inside it
     * @param queueMillis predicted time until the engine has prefilled all earlier prompts, in milliseconds
     * @param target first-token target of the prompt
     * @param shortestTarget shortest first-token target of all prompts of the service
     * @param late whether the prompt can no longer start in time
     */
    static boolean hasFreeCapacity(
            Work work,
            PrefillPlan plan,
            long memoryTokens,
            int slots,
            double queueMillis,
            Duration target,
            Duration shortestTarget,
            boolean late) {
        if (work.requests() == 0) {
            return true;
        }
        if (work.requests() >= slots) {
            return false;
        }
        boolean hasShortestTarget = target.compareTo(shortestTarget) <= 0;
        double share = hasShortestTarget ? MEMORY_SHARE : MEMORY_SHARE_OF_LESS_URGENT;
        boolean fitsMemory = work.tokens() + plan.memoryTokens() <= share * memoryTokens;
        return fitsMemory && queueMillis <= maxQueueMillis(target, shortestTarget, late);
    }

    private static double maxQueueMillis(Duration target, Duration shortestTarget, boolean late) {
        if (late) {
            return LATE_QUEUE_MILLIS;
        }
        boolean hasShortestTarget = target.compareTo(shortestTarget) <= 0;
        return hasShortestTarget
                ? OWN_TARGET_QUEUE_SHARE * target.toMillis()
                : SHORTEST_TARGET_QUEUE_SHARE * shortestTarget.toMillis();
    }
}

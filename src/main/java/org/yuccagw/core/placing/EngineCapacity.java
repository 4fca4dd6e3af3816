package org.yuccagw.core.placing;

import java.time.Duration;

/**
 * Whether an engine has room for one more prompt now, or the prompt had better wait at its entry.
 *
 * <p>Guards against a queue inside the engine that feeds itself. An engine takes in whatever fits its memory and works
 * it off in the order of arrival: what is urgent waits behind what isn't, and prompts that wait for their turn take
 * the memory in which the engine keeps parts for the next ones, so that each of those has to be computed again. On a
 * played day with a quarter of the engines silent for 12 s, first tokens took 1.0 to 1.7 s at the median from then
 * until 6 s after their return, at a load that took 0.2 s before.
 *
 * <p>What waits at an entry keeps its order by urgency and can still go to any engine.
 */
final class EngineCapacity {
    /**
     * Most of the engine's unread work before a prompt that isn't the most urgent of its service, as a share of the
     * shortest target there: a more urgent one that comes right after still begins in time.
     */
    private static final double SHARE_OF_SHORTEST_TARGET = 0.4;

    /** The same for the most urgent prompts, as a share of their own target. */
    private static final double SHARE_OF_OWN_TARGET = 0.6;

    /** A prompt that is late already only takes what would otherwise stay idle. */
    private static final double LATE_MILLIS = 60;

    /**
     * Part of an engine's memory that running requests may take. Answers take seconds, so memory is what runs out
     * first, and what is kept free makes long prompts wait for nothing.
     */
    private static final double MEMORY_FOR_RUNNING = 0.95;

    /**
     * The same for prompts that aren't of the shortest target of their service: those come at any moment, and find no
     * room under load where one limit holds for all.
     */
    private static final double MEMORY_FOR_PATIENT = 0.85;

    private EngineCapacity() {}

    /**
     * Whether the engine has room.
     *
     * @param queueMillis until it has read what others sent before
     * @param target of the prompt
     * @param shortestTarget of all prompts of the service
     * @param late whether the prompt can't begin in time any more
     */
    static boolean hasRoom(
            Work work,
            PromptNeed need,
            long memoryTokens,
            double queueMillis,
            Duration target,
            Duration shortestTarget,
            boolean late) {
        if (work.requests() == 0) {
            return true;
        }
        boolean shortest = target.compareTo(shortestTarget) <= 0;
        double share = shortest ? MEMORY_FOR_RUNNING : MEMORY_FOR_PATIENT;
        boolean fits = work.tokens() + need.memoryTokens() <= share * memoryTokens;
        return fits && queueMillis <= windowMillis(target, shortestTarget, late);
    }

    private static double windowMillis(Duration target, Duration shortestTarget, boolean late) {
        if (late) {
            return LATE_MILLIS;
        }
        boolean shortest = target.compareTo(shortestTarget) <= 0;
        return shortest
                ? SHARE_OF_OWN_TARGET * target.toMillis()
                : SHARE_OF_SHORTEST_TARGET * shortestTarget.toMillis();
    }
}

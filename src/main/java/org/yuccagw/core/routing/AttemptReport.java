package org.yuccagw.core.routing;

import org.yuccagw.core.control.ControlEvent;

/** A report about a routed attempt, identified by the attempt number of {@link RouteRequested.Answer.Chosen}. */
public interface AttemptReport extends ControlEvent {
    long attempt();

    /**
     * The import of cache blocks ended: {@code blocks} blocks with {@code bytes} bytes arrived within {@code millis}.
     */
    record Imported(long attempt, int blocks, long bytes, long millis) implements AttemptReport {}

    /** The request was sent to the endpoint. */
    record Sent(long attempt) implements AttemptReport {}

    /** The first token arrived, {@code millis} after the request was sent. */
    record FirstToken(long attempt, long millis) implements AttemptReport {}

    /**
     * The attempt ended, with an answer or without.
     *
     * @param cachedTokens prompt tokens that the engine reports as reused from its cache, -1 if it reports none
     */
    record Ended(long attempt, boolean answered, long cachedTokens, long answerTokens) implements AttemptReport {}
}

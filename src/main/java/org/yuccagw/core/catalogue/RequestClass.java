package org.yuccagw.core.catalogue;

import java.time.Duration;

/**
 * A class of requests, with its urgency, its deadlines and its weights in the routing objective.
 *
 * @param name the name of the class
 * @param priority the priority at the engine; lower values run first
 * @param weight the weight in fair queueing relative to other classes, above 0
 * @param firstTokenDeadline maximum predicted time to first token; a request with a longer one is refused early
 * @param answerDeadline maximum time for the complete answer over all attempts
 * @param progressTimeout maximum time without bytes on a stream before its connection is closed
 * @param firstTokenWeight weight of one second of time to first token in the routing objective
 * @param recomputeWeight weight of 1,000 recomputed prompt tokens in the routing objective
 */
public record RequestClass(
        String name,
        int priority,
        double weight,
        Duration firstTokenDeadline,
        Duration answerDeadline,
        Duration progressTimeout,
        double firstTokenWeight,
        double recomputeWeight) {}

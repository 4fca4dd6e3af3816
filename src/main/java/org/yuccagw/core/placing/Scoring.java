package org.yuccagw.core.placing;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.prompt.PromptPart;
import org.yuccagw.core.prompt.PromptShape;

/**
 * What it costs to run a request on an endpoint, in milliseconds of a caller's time. The lowest cost wins.
 *
 * <p>For prompts the cost is the predicted time to the first token, what is computed again or fetched, and a price for
 * crossing failure domains. Prompts of one session lean to the same endpoint, chosen by rendezvous hashing over the
 * usable ones of the failure domain, so its entries agree without talking.
 *
 * <p>Example: on an idle engine that holds them, the 7,520 shared tokens of a prompt add nothing to its cost; on one
 * that fetches them within its failure domain about 150, on one that computes them about 880.
 */
final class Scoring {
    /**
     * Milliseconds for each shared token computed again, beside the time that it takes. It also keeps the engine from
     * others, and what is computed again weighs most with the operators.
     */
    private static final double MISS_MILLIS_PER_TOKEN = 0.1;

    /** A fetched token keeps links from others, beside the time that it takes. */
    private static final double FETCH_MILLIS_PER_TOKEN = 0.012;

    /** A running request slows each step of the others by 0.03 ms, by the operators' sheet, for some fifty steps. */
    private static final double MODEL_REQUEST_MILLIS = 1.5;

    /** Heads of a request and its answer that cross failure domains. */
    private static final double FAR_PROMPT_MILLIS = 20;

    /**
     * Bytes between failure domains are dear, and a prompt's body grows with its tokens, about a byte for each: a long
     * one is worth 4 % of its answer. Twice the price of fetching all its shared parts, since prompts would follow
     * these into other domains otherwise.
     */
    private static final double FAR_MILLIS_PER_PROMPT_TOKEN = 0.025;

    /** The bytes of an answer's events. */
    private static final double FAR_MILLIS_PER_ANSWER_TOKEN = 0.2;

    private static final double FAR_PLAIN_MILLIS = 15;

    /** What the endpoint of the session is preferred by, all else being equal. */
    private static final double SESSION_MILLIS = 15;

    /** Mean work of a plain call. */
    static final double PLAIN_MILLIS = 40;

    private static final double PLAIN_REQUEST_MILLIS = 4;

    /** An endpoint that fails every request, while others fail none, costs as much as a second of waiting. */
    private static final double FAULT_MILLIS = 1_000;

    private static final double SHED_MILLIS = 400;
    private static final double AVOIDED_MILLIS = 20_000;
    private static final double LOADING_MILLIS = 5_000;

    /** Answers on older weights lose part of their worth soon after newer ones were named. */
    private static final double OLD_WEIGHTS_MILLIS = 70;

    /** An endpoint that has just started is slow for a while; one request bears some hundredths of that. */
    private static final double COLD_MILLIS_SHARE = 0.02;

    /** What an endpoint claims beyond this says no more than that it has just started. */
    private static final long MOST_COLD_MILLIS = 5_000;

    private final FailureDomain own;

    Scoring(FailureDomain own) {
        this.own = own;
    }

    /** The cost of a prompt. */
    double ofPrompt(
            EndpointState endpoint,
            PromptShape prompt,
            PromptNeed need,
            FirstToken firstToken,
            boolean expected,
            boolean oldWeights,
            UsualFaults faults,
            long nowNanos) {
        return ofAny(endpoint, faults, nowNanos)
                + firstToken.millis()
                + need.sharedReadTokens() * MISS_MILLIS_PER_TOKEN
                + need.fetchTokens() * FETCH_MILLIS_PER_TOKEN
                + endpoint.work().requests() * MODEL_REQUEST_MILLIS
                + (isFar(endpoint) ? farMillis(prompt) : 0)
                + (oldWeights ? OLD_WEIGHTS_MILLIS : 0)
                - (expected ? SESSION_MILLIS : 0);
    }

    /** The cost of a call to a plain service. */
    double ofPlainCall(EndpointState endpoint, UsualFaults faults, long nowNanos) {
        return ofAny(endpoint, faults, nowNanos) + plainWaitMillis(endpoint) + (isFar(endpoint) ? FAR_PLAIN_MILLIS : 0);
    }

    /** Predicted wait before a plain endpoint begins with one more call, in milliseconds. */
    static double plainWaitMillis(EndpointState endpoint) {
        int slots = Math.max(1, endpoint.listed().slots());
        int requests = endpoint.work().requests();
        double full = Math.max(0, requests + 1 - slots) * PLAIN_MILLIS / slots;
        return full + requests * PLAIN_REQUEST_MILLIS;
    }

    private static double ofAny(EndpointState endpoint, UsualFaults faults, long nowNanos) {
        return faults.beyond(endpoint) * FAULT_MILLIS
                + (endpoint.hasJustShed(nowNanos) ? SHED_MILLIS : 0)
                + (endpoint.isAvoided(nowNanos) ? AVOIDED_MILLIS : 0)
                + (endpoint.isLoading(nowNanos) ? LOADING_MILLIS : 0)
                + Math.min(endpoint.coldLeftMillis(nowNanos), MOST_COLD_MILLIS) * COLD_MILLIS_SHARE;
    }

    private static double farMillis(PromptShape prompt) {
        return FAR_PROMPT_MILLIS
                + prompt.promptTokens() * FAR_MILLIS_PER_PROMPT_TOKEN
                + prompt.answerTokens() * FAR_MILLIS_PER_ANSWER_TOKEN;
    }

    /** Whether the endpoint lies in another failure domain than this entry. */
    boolean isFar(EndpointState endpoint) {
        return !endpoint.listed().domain().equals(own);
    }

    /** The weight of an endpoint for a session; the highest is where the session is expected. */
    static long sessionWeight(PromptPart session, EndpointId endpoint) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(session.id(), StandardCharsets.US_ASCII)
                .putString(endpoint.value(), StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}

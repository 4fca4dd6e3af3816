package org.yuccagw.core.placing;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import org.yuccagw.core.deployment.EngineTraits;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.prompt.PromptPart;
import org.yuccagw.core.prompt.PromptShape;

/**
 * What it costs to run a request on an endpoint, in milliseconds of a caller's time. The lowest cost wins.
 *
 * <p>For prompts the cost is the wait for memory and compute, the shared tokens that would be computed again, and a
 * price for crossing failure domains. Prompts of one session prefer the same endpoint, chosen by rendezvous hashing
 * over all usable ones, so entries agree without talking; a loaded endpoint loses the preference as its wait grows.
 *
 * <p>Example: a prompt with 7,520 shared tokens on its session's endpoint with two requests running costs about 12;
 * on an idle endpoint that doesn't hold the session, 750.
 */
final class Scoring {
    /** Prompt tokens that an engine reads in a millisecond, from the operators' sheet of the engines. */
    static final double PREFILL_TOKENS_PER_MILLI = 50;

    /**
     * Milliseconds for each shared token computed again. Five times what reading it takes, since it also keeps the
     * engine from others, and what is computed again weighs most with the operators.
     */
    private static final double MISS_MILLIS_PER_TOKEN = 0.1;

    /** A token fetched from a store takes a 180th of a millisecond on its link, which others wait for too. */
    private static final double FETCH_MILLIS_PER_TOKEN = 0.012;

    /** A running request slows the tokens of others by some hundredths of a step and competes for prefill. */
    private static final double MODEL_REQUEST_MILLIS = 6;

    /** Tokens over an engine's memory wait until others end: about 400 ms for a prompt of 9,000. */
    private static final double OVERFLOW_MILLIS_PER_TOKEN = 0.045;

    /** Bytes between failure domains are dear: a long prompt's body is worth about 4 % of its answer. */
    private static final double FAR_PROMPT_MILLIS = 60;

    private static final double FAR_PLAIN_MILLIS = 6;

    /** Mean work of a plain call. */
    private static final double PLAIN_MILLIS = 40;

    private static final double PLAIN_REQUEST_MILLIS = 4;

    /** An endpoint that fails every request costs as much as a second of waiting. */
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

    /** What of a request the cost depends on. */
    record Need(
            Optional<PromptShape> prompt,
            Optional<EngineTraits> engine,
            OptionalLong newestVersion,
            int fetchableTokens) {

        private double missMillis() {
            int read = prompt.get().sharedTokens() - fetchableTokens;
            return read * MISS_MILLIS_PER_TOKEN + fetchableTokens * FETCH_MILLIS_PER_TOKEN;
        }
    }

    /** The cost in milliseconds; {@code preferred} says that the session's parts are expected there. */
    double cost(EndpointState endpoint, Need need, boolean preferred, long nowNanos) {
        double cost = waitMillis(endpoint, need) + endpoint.faultShare() * FAULT_MILLIS;
        boolean far = !endpoint.listed().domain().equals(own);
        if (need.prompt().isPresent()) {
            PromptShape prompt = need.prompt().get();
            cost += preferred ? 0 : need.missMillis();
            cost += far ? FAR_PROMPT_MILLIS : 0;
            cost += isOld(endpoint, prompt, need.newestVersion()) ? OLD_WEIGHTS_MILLIS : 0;
        } else {
            cost += far ? FAR_PLAIN_MILLIS : 0;
        }
        cost += endpoint.hasJustShed(nowNanos) ? SHED_MILLIS : 0;
        cost += endpoint.isAvoided(nowNanos) ? AVOIDED_MILLIS : 0;
        cost += endpoint.isLoading(nowNanos) ? LOADING_MILLIS : 0;
        return cost + Math.min(endpoint.listed().coldMillis(), MOST_COLD_MILLIS) * COLD_MILLIS_SHARE;
    }

    /** Predicted wait before the endpoint begins with the request, in milliseconds. */
    double waitMillis(EndpointState endpoint, Need need) {
        if (need.prompt().isEmpty()) {
            int slots = Math.max(1, endpoint.listed().slots());
            double full = Math.max(0, endpoint.requests() + 1 - slots) * PLAIN_MILLIS / slots;
            return full + endpoint.requests() * PLAIN_REQUEST_MILLIS;
        }
        double wait = endpoint.requests() * MODEL_REQUEST_MILLIS;
        if (need.engine().isPresent()) {
            long overflow = endpoint.tokens()
                    + need.prompt().get().tokens()
                    - need.engine().get().memoryTokens();
            wait += Math.max(0, overflow) * OVERFLOW_MILLIS_PER_TOKEN;
        }
        return wait;
    }

    /** Predicted time to the first byte, in milliseconds. */
    double firstByteMillis(EndpointState endpoint, Need need, boolean preferred) {
        double wait = waitMillis(endpoint, need);
        if (need.prompt().isEmpty()) {
            return wait + PLAIN_MILLIS;
        }
        PromptShape prompt = need.prompt().get();
        int read = prompt.promptTokens() - (preferred ? prompt.sharedTokens() : need.fetchableTokens());
        return wait + read / PREFILL_TOKENS_PER_MILLI;
    }

    private static boolean isOld(EndpointState endpoint, PromptShape prompt, OptionalLong newest) {
        return newest.isPresent() && endpoint.versionOf(prompt.model()).orElse(0) < newest.getAsLong();
    }

    /** The weight of an endpoint for a session; the highest is preferred. */
    static long sessionWeight(PromptPart session, EndpointId endpoint) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(session.id(), StandardCharsets.US_ASCII)
                .putString(endpoint.value(), StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}

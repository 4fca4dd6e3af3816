package org.yuccagw.standins.engine;

import java.util.List;
import org.yuccagw.core.cache.BlockKey;

/**
 * A request to the cost model.
 *
 * @param id identifies the request in events; unique among queued and running requests
 * @param priority requests with lower numbers are admitted first
 * @param blocks the keys of the complete blocks of the prompt, in order
 * @param promptTokens the number of tokens of the prompt, at least 1
 * @param answerTokens the number of tokens of the answer, at least 1
 */
public record EngineRequest(long id, int priority, List<BlockKey> blocks, long promptTokens, int answerTokens) {
    public EngineRequest {
        blocks = List.copyOf(blocks);
        if (promptTokens < 1 || answerTokens < 1) {
            throw new IllegalArgumentException("prompt and answer must have at least one token");
        }
    }
}

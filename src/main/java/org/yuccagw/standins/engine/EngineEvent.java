package org.yuccagw.standins.engine;

import java.util.List;
import org.yuccagw.core.cache.BlockKey;

/** An event of the cost model. */
public interface EngineEvent {
    /** Returns the virtual time of the event. */
    long nanos();

    /** The request was admitted to the batch. */
    record Started(long nanos, long id, long cachedTokens) implements EngineEvent {}

    /**
     * One token of the answer was generated.
     *
     * @param number the position of the token in the answer, from 1
     */
    record Token(long nanos, long id, int number) implements EngineEvent {}

    /** The answer is complete. */
    record Finished(long nanos, long id, long cachedTokens) implements EngineEvent {}

    /** Blocks were added to the prefix cache. */
    record BlocksStored(long nanos, List<BlockKey> blocks) implements EngineEvent {}

    /** Blocks were removed from the prefix cache. */
    record BlocksRemoved(long nanos, List<BlockKey> blocks) implements EngineEvent {}
}

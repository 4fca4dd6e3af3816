package org.yuccagw.core.cache;

import java.util.List;
import org.yuccagw.core.id.StoreId;
import org.yuccagw.core.port.PeerMessage;

/**
 * An entry tells the others about a run of blocks that a store has now; a hint.
 *
 * @param startDepth blocks of the prompt before the run
 */
public record BlocksPlaced(PromptScope scope, int startDepth, StoreId store, List<StoreUpdate.Found> blocks)
        implements PeerMessage {
    public BlocksPlaced {
        blocks = List.copyOf(blocks);
    }
}

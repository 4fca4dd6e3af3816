package org.yuccagw.core.cache;

import java.util.List;
import org.yuccagw.core.id.StoreId;
import org.yuccagw.core.port.PeerMessage;

/**
 * Notifies other entries of a run of blocks that a store now holds. The message is a hint.
 *
 * @param startDepth number of blocks of the prompt before the run
 */
public record BlocksPlaced(PromptScope scope, int startDepth, StoreId store, List<StoreUpdate.Found> blocks)
        implements PeerMessage {
    public BlocksPlaced {
        blocks = List.copyOf(blocks);
    }
}

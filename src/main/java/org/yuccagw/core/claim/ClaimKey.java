package org.yuccagw.core.claim;

import org.yuccagw.core.id.IdempotencyKey;
import org.yuccagw.core.id.ShardNumber;
import org.yuccagw.core.id.WorkspaceId;
import org.yuccagw.core.shard.Shards;

/** The idempotency key of a workspace, to which a claim applies. Equal keys of two workspaces are different claims. */
public record ClaimKey(WorkspaceId workspace, IdempotencyKey key) {
    static ClaimKey of(Claim claim) {
        return new ClaimKey(claim.workspace(), claim.key());
    }

    /** Returns the shard whose owner decides on claims of this key. */
    ShardNumber shard(int count) {
        return Shards.of(workspace.value() + key.value(), count);
    }
}

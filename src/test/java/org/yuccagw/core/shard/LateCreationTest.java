package org.yuccagw.core.shard;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.testng.annotations.Test;
import org.yuccagw.bench.control.SampleCatalogues;
import org.yuccagw.core.catalogue.CatalogueChanged;
import org.yuccagw.core.control.ControlCore;
import org.yuccagw.core.control.ControlCore.CallAnswered;
import org.yuccagw.core.control.ControlCore.Effect;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.EntryIdentity;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.ShardNumber;
import org.yuccagw.core.port.KeyValueAnswer;
import org.yuccagw.core.port.KeyValueCall;
import org.yuccagw.core.port.KeyValueCall.LeaseHandle;

public class LateCreationTest {
    private static final NetworkAddress ADDRESS = NetworkAddress.of("127.0.0.1", 4000);
    private static final ShardNumber SHARD = ShardNumber.of(0);

    private final ShardsComponent shards = ShardsComponent.of();
    private final ControlCore core = ControlCore.of(
            new EntryIdentity(EntryId.of("entry-1"), 1, FailureDomain.of("lac"), ADDRESS, ADDRESS, ADDRESS),
            new SplittableRandom(1),
            List.of(shards));
    private final List<Effect.Call> openCalls = new ArrayList<>();
    private Duration now = Duration.ZERO;

    // An entry creates the key of a shard under its lease, and the answer is delayed until that lease has been lost and
    // another one granted. The key is removed with the first lease, while the entry renews the second one and would
    // regard itself as the owner for ever.
    @Test
    public void aShardCreatedUnderALeaseThatHasBeenLostSinceIsNotOwned() {
        recordCalls(core.start(0, 0));
        handleEvent(new CatalogueChanged(SampleCatalogues.ofWorkspaces(1).atRevision(1)));
        advanceTo(Duration.ofSeconds(3));
        answer(KeyValueCall.GrantLease.class, new KeyValueAnswer.LeaseGranted(new LeaseHandle(0, 1)));
        answer(KeyValueCall.Read.class, new KeyValueAnswer.Found(List.of(), 1));
        Effect.Call creation = latestCall(KeyValueCall.CompareAndSwap.class);
        assertEquals(((KeyValueCall.CompareAndSwap) creation.call()).lease(), Optional.of(new LeaseHandle(0, 1)));
        advanceTo(Duration.ofSeconds(15));
        answer(KeyValueCall.GrantLease.class, new KeyValueAnswer.LeaseGranted(new LeaseHandle(0, 2)));
        handleEvent(new CallAnswered(creation.number(), new KeyValueAnswer.Written(50)));
        assertEquals(shards.epochIfHeld(SHARD, now.toNanos()), OptionalLong.empty());
        assertTrue(openCalls.stream()
                .anyMatch(call -> call.call() instanceof KeyValueCall.Delete delete
                        && delete.key().equals(ShardOwner.key(SHARD))
                        && delete.expectedRevision() == 50));
    }

    private void advanceTo(Duration time) {
        while (now.compareTo(time) < 0) {
            now = now.plusMillis(100);
            recordCalls(core.handle(new ControlCore.Tick(), now.toNanos(), 0));
        }
    }

    private void handleEvent(ControlEvent event) {
        recordCalls(core.handle(event, now.toNanos(), 0));
    }

    private void recordCalls(List<Effect> effects) {
        effects.stream()
                .filter(Effect.Call.class::isInstance)
                .map(Effect.Call.class::cast)
                .forEach(openCalls::add);
    }

    /** Answers the latest open call of a kind; of reads, the latest one for the first shard. */
    private void answer(Class<? extends KeyValueCall> kind, KeyValueAnswer answer) {
        Effect.Call call = latestCall(kind);
        openCalls.remove(call);
        handleEvent(new CallAnswered(call.number(), answer));
    }

    private Effect.Call latestCall(Class<? extends KeyValueCall> kind) {
        return openCalls.stream()
                .filter(call -> kind.isInstance(call.call()))
                .filter(call -> !(call.call() instanceof KeyValueCall.Read read)
                        || read.key().equals(ShardOwner.key(SHARD)))
                .reduce((earlier, later) -> later)
                .orElseThrow();
    }
}

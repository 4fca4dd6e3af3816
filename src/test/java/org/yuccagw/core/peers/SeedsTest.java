package org.yuccagw.core.peers;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.testng.annotations.Test;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.bench.control.ControlBench;
import org.yuccagw.core.fleet.EntryContact;
import org.yuccagw.core.follow.KeyValueRecord;
import org.yuccagw.core.follow.KeyValueRecordUpdated;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.NetworkAddress;

public class SeedsTest {
    private static final LocalState EMPTY_STATE = new LocalState() {
        @Override
        public String reasonNotReady(long nowNanos) {
            return "";
        }

        @Override
        public long revision() {
            return 0;
        }

        @Override
        public OptionalLong confirmedNanos() {
            return OptionalLong.empty();
        }

        @Override
        public ImmutableList<PeerStatus.Load> loads() {
            return ImmutableList.of();
        }

        @Override
        public ImmutableList<EndpointIncarnation> loading() {
            return ImmutableList.of();
        }

        @Override
        public ImmutableList<PeerStatus.Weights> weights() {
            return ImmutableList.of();
        }

        @Override
        public ImmutableList<PeerStatus.Queued> queued() {
            return ImmutableList.of();
        }
    };

    // Guards against seeds that stay in use after discovery. The settings list three VMs as seeds, and the
    // registrations list the entries on the same VMs. If the seed addresses were kept beside these, every entry of a
    // large fleet would keep sending to the three, over a second connection to each.
    @Test
    public void aSeedAddressIsDroppedOnceItsEntryIsKnown() {
        ControlBench bench = ControlBench.of(3);
        BenchNode seed = bench.start("entry-1", List.of(PeersComponent.of(EMPTY_STATE, List.of())));
        List<NetworkAddress> seeds = List.of(seed.identity().peerAddress());
        BenchNode other = bench.start("entry-2", List.of(PeersComponent.of(EMPTY_STATE, seeds)));
        other.offer(
                new KeyValueRecordUpdated(new KeyValueRecord.EntryListed(EntryContact.of(seed.identity())), 1, false));
        bench.runFor(Duration.ofSeconds(1));
        assertEquals(other.state(PeersSnapshot.class).orElseThrow().addresses().keySet(), Set.of(seed.entry()));
    }
}

package org.yuccagw.daemon;

import java.util.List;
import java.util.SplittableRandom;
import org.yuccagw.adapters.peer.CacheCodec;
import org.yuccagw.adapters.peer.CatalogueUpdateCodec;
import org.yuccagw.adapters.peer.ClaimCodec;
import org.yuccagw.adapters.peer.ClaimLogProtobuf;
import org.yuccagw.adapters.peer.EndpointSightingsCodec;
import org.yuccagw.adapters.peer.GossipCodec;
import org.yuccagw.adapters.peer.PeerCodec;
import org.yuccagw.adapters.peer.QuarantineCodec;
import org.yuccagw.adapters.peer.ShardCodec;
import org.yuccagw.adapters.peer.ShareCodec;
import org.yuccagw.adapters.settings.CatalogueJson;
import org.yuccagw.core.admission.AdmissionComponent;
import org.yuccagw.core.admission.CapacityComponent;
import org.yuccagw.core.cache.CacheComponent;
import org.yuccagw.core.cache.CacheSettings;
import org.yuccagw.core.cache.CacheState;
import org.yuccagw.core.catalogue.CatalogueComponent;
import org.yuccagw.core.claim.ClaimComponent;
import org.yuccagw.core.control.ControlCore;
import org.yuccagw.core.control.EntryIdentity;
import org.yuccagw.core.endpoint.EndpointsComponent;
import org.yuccagw.core.membership.MembershipComponent;
import org.yuccagw.core.quarantine.QuarantineComponent;
import org.yuccagw.core.routing.RouteComponent;
import org.yuccagw.core.routing.RoutePolicies;
import org.yuccagw.core.shard.ShardsComponent;
import org.yuccagw.core.swap.SwapsComponent;

/**
 * The parts of an entry's control core and the codecs of what they say to other entries.
 *
 * <p>The order matters in one way: an event goes through the parts in the order of the list, so those that others ask
 * about the catalogue, members and shards come first.
 */
public record ControlComponents(ControlCore core, PeerCodec codec) {

    /** All parts of an entry. */
    public static ControlComponents of(EntryIdentity self) {
        CatalogueComponent catalogue = CatalogueComponent.of(CatalogueJson.create());
        ShardsComponent shards = ShardsComponent.of();
        CacheState cache = CacheState.of(CacheSettings.defaults());
        ControlCore core = ControlCore.of(
                self,
                new SplittableRandom(self.incarnation() ^ self.entry().hashCode()),
                List.of(
                        catalogue,
                        MembershipComponent.of(catalogue),
                        EndpointsComponent.of(),
                        shards,
                        SwapsComponent.of(shards),
                        ClaimComponent.of(shards, shards::snapshot, ClaimLogProtobuf.of()),
                        QuarantineComponent.of(shards, shards::snapshot),
                        AdmissionComponent.of(shards, shards::snapshot),
                        CapacityComponent.create(),
                        CacheComponent.of(cache),
                        RouteComponent.of(RoutePolicies.byName(RoutePolicies.PREDICTED_FIRST_TOKEN), cache)));
        return new ControlComponents(core, codecs());
    }

    /** The codecs of all parts. */
    public static PeerCodec codecs() {
        return PeerCodec.of(List.of(
                GossipCodec.of(),
                CatalogueUpdateCodec.of(),
                EndpointSightingsCodec.of(),
                ShardCodec.of(),
                ClaimCodec.of(),
                ShareCodec.of(),
                QuarantineCodec.of(),
                CacheCodec.create()));
    }
}

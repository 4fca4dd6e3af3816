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
import org.yuccagw.adapters.peer.SuspectCodec;
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
import org.yuccagw.core.suspect.AllMembers;
import org.yuccagw.core.suspect.SuspectPartsComponent;
import org.yuccagw.core.swap.SwapsComponent;

/**
 * The control core of an entry and the codec of the messages that its components exchange with other entries.
 *
 * <p>An event is passed to the components in the order of the list. Components whose state is read by others (the
 * catalogue, the members and the shards) therefore come first.
 */
public record ControlComponents(ControlCore core, PeerCodec codec) {

    /** Creates all components of an entry, and the codec of their messages. */
    public static ControlComponents of(EntryIdentity self) {
        CatalogueComponent catalogue = CatalogueComponent.of(CatalogueJson.create());
        ShardsComponent shards = ShardsComponent.of();
        CacheState cache = CacheState.of(CacheSettings.defaults());
        AllMembers members = AllMembers.create();
        SuspectPartsComponent suspectParts = SuspectPartsComponent.of(members);
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
                        members,
                        suspectParts,
                        QuarantineComponent.of(shards, shards::snapshot, suspectParts),
                        AdmissionComponent.of(shards, shards::snapshot),
                        CapacityComponent.create(),
                        CacheComponent.of(cache),
                        RouteComponent.of(RoutePolicies.byName(RoutePolicies.PREDICTED_FIRST_TOKEN), cache)));
        return new ControlComponents(core, codecs());
    }

    /** Returns a codec for the messages of all components. */
    public static PeerCodec codecs() {
        return PeerCodec.of(List.of(
                GossipCodec.of(),
                CatalogueUpdateCodec.of(),
                EndpointSightingsCodec.of(),
                ShardCodec.of(),
                ClaimCodec.of(),
                ShareCodec.of(),
                QuarantineCodec.of(),
                SuspectCodec.create(),
                CacheCodec.create()));
    }
}

package org.yuccagw.bench.control;

import java.util.List;
import org.yuccagw.adapters.peer.CatalogueUpdateCodec;
import org.yuccagw.adapters.peer.EndpointSightingsCodec;
import org.yuccagw.adapters.peer.GossipCodec;
import org.yuccagw.adapters.peer.PeerCodec;
import org.yuccagw.adapters.peer.ShardCodec;
import org.yuccagw.adapters.settings.CatalogueJson;
import org.yuccagw.core.catalogue.CatalogueComponent;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.endpoint.EndpointsComponent;
import org.yuccagw.core.membership.MembershipComponent;
import org.yuccagw.core.shard.ShardsComponent;
import org.yuccagw.core.swap.SwapsComponent;

/** The parts of a control core as an entry daemon runs them, and the codec of their messages. */
public final class ControlComponents {
    private ControlComponents() {}

    /** New parts for one process: catalogue, membership, endpoints, shards, swaps. */
    public static List<ControlComponent> all() {
        return withShards().parts();
    }

    /** The same, and the shards part too, for whoever asks it for authority. */
    public static WithShards withShards() {
        CatalogueComponent catalogue = CatalogueComponent.of(CatalogueJson.create());
        ShardsComponent shards = ShardsComponent.of();
        List<ControlComponent> parts = List.of(
                catalogue,
                MembershipComponent.of(catalogue),
                EndpointsComponent.of(),
                shards,
                SwapsComponent.of(shards));
        return new WithShards(parts, shards);
    }

    public static PeerCodec codec() {
        return PeerCodec.of(
                List.of(GossipCodec.of(), CatalogueUpdateCodec.of(), EndpointSightingsCodec.of(), ShardCodec.of()));
    }

    /** All parts, one of them by name. */
    public record WithShards(List<ControlComponent> parts, ShardsComponent shards) {}
}

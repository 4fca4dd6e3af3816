package org.yuccagw.daemon;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.yuccagw.adapters.peer.FollowCodec;
import org.yuccagw.adapters.peer.NoticeCodec;
import org.yuccagw.adapters.peer.PeerCodec;
import org.yuccagw.adapters.peer.PlacementCodec;
import org.yuccagw.adapters.peer.RateLimitCodec;
import org.yuccagw.adapters.peer.StatusCodec;
import org.yuccagw.adapters.settings.GatewaySettings;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlCore;
import org.yuccagw.core.control.EntryIdentity;
import org.yuccagw.core.duty.DutyComponent;
import org.yuccagw.core.duty.WeightOrdersComponent;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.follow.ConfigurationComponent;
import org.yuccagw.core.follow.FollowMessage;
import org.yuccagw.core.follow.KeyValueFollowComponent;
import org.yuccagw.core.follow.KeyValueRecordCodec;
import org.yuccagw.core.follow.NamedWeightsComponent;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.notice.NoticesComponent;
import org.yuccagw.core.peers.PeerStatus;
import org.yuccagw.core.peers.PeersComponent;
import org.yuccagw.core.peers.RegistrationComponent;
import org.yuccagw.core.placing.PlacementBounds;
import org.yuccagw.core.placing.PlacementClient;
import org.yuccagw.core.placing.PlacementComponent;
import org.yuccagw.core.placing.PlacementRequest;
import org.yuccagw.core.placing.PlacementResponder;
import org.yuccagw.core.placing.Work;
import org.yuccagw.core.port.PeerMessage;
import org.yuccagw.core.ratelimit.EndpointConstraints;
import org.yuccagw.core.ratelimit.InternalCalls;
import org.yuccagw.core.ratelimit.RateLimitShares;
import org.yuccagw.core.ratelimit.RateLimitsComponent;
import org.yuccagw.core.stores.EngineCachesComponent;
import org.yuccagw.core.stores.RetiredPartsComponent;
import org.yuccagw.core.stores.StoresComponent;

/**
 * The parts of the control core of an entry on the users' platform.
 *
 * <p>Parts ask each other through this object, since each needs something of another: heartbeats carry loads, placing
 * needs the number of entries, orders announce themselves by a heartbeat.
 */
final class GatewayComponents implements PeersComponent.LocalState {
    private static final String WEIGHTS_DUTY = "weights";

    private final EntryId self;
    private final FailureDomain ownDomain;
    private final KeyValueFollowComponent follow;
    private final ConfigurationComponent configuration;
    private final PeersComponent peers;
    private final StoresComponent stores;
    private final PlacementComponent placement;
    private final DutyComponent duty;
    private final WeightOrdersComponent orders;
    private final List<ControlComponent> components;

    private GatewayComponents(GatewaySettings settings, KeyValueRecordCodec codec) {
        self = settings.entry();
        ownDomain = settings.domain();
        follow = KeyValueFollowComponent.of(
                codec,
                settings.bounds().unconfirmedKeyTimeout().isPresent()
                        ? KeyValueFollowComponent.WatchRole.alwaysWatching()
                        : new Following());
        configuration = ConfigurationComponent.create();
        peers = PeersComponent.of(this, settings.seeds());
        NamedWeightsComponent weights =
                NamedWeightsComponent.of(settings.bounds().oldWeightsAllowed());
        stores = StoresComponent.of(peers::firstLeads);
        Limiting fleet = new Limiting();
        NoticesComponent notices = NoticesComponent.of(fleet);
        RateLimitsComponent rateLimits = RateLimitsComponent.of(fleet);
        EndpointConstraints constraints = new EndpointConstraints(rateLimits, notices);
        InternalCalls calls = InternalCalls.of(constraints);
        EngineCachesComponent caches = EngineCachesComponent.of(peers::ownLeads, calls);
        PlacementResponder responder = PlacementResponder.of(this::workOf, notices);
        placement = PlacementComponent.of(
                new PlacementBounds(
                        settings.bounds().retries(), settings.bounds().coldEndpoints()),
                settings.regions(),
                weights,
                stores,
                caches,
                constraints,
                new Placing(),
                responder);
        PlacementClient client =
                PlacementClient.of(this::placersOf, placement::usableEndpoint, placement::excludedEndpoints, notices);
        duty = DutyComponent.of(
                WEIGHTS_DUTY,
                codec,
                peers::allLeads,
                follow::isReachable,
                settings.bounds().minOrderSeparation());
        orders = WeightOrdersComponent.of(duty, weights, this::announceOrders, placement::requestsOn, calls);
        RetiredPartsComponent retired = RetiredPartsComponent.of(duty::mayAct, weights, orders::lowestRunning, stores);
        components = List.of(
                follow,
                configuration,
                weights,
                peers,
                RegistrationComponent.of(codec),
                notices,
                rateLimits,
                stores,
                caches,
                client,
                responder,
                placement,
                duty,
                orders,
                retired);
    }

    static GatewayComponents of(GatewaySettings settings, KeyValueRecordCodec codec) {
        return new GatewayComponents(settings, codec);
    }

    /** In the order in which an event goes through them: those that others ask come first. */
    List<ControlComponent> list() {
        return components;
    }

    ControlCore core(EntryIdentity self) {
        return ControlCore.of(
                self, new SplittableRandom(self.incarnation() ^ self.entry().hashCode()), components);
    }

    /** How many requests run on an endpoint, as far as this entry knows. */
    int requestsOn(EndpointId endpoint) {
        return placement.requestsOn(endpoint);
    }

    /** Who leads the failure domain of this entry. */
    List<EntryId> ownLeads() {
        return peers.ownLeads();
    }

    /** Whether this entry may use the endpoint as far as it knows. */
    boolean isUsable(EndpointIncarnation endpoint) {
        return placement.usableEndpoint(endpoint).isPresent();
    }

    static PeerCodec codec() {
        return PeerCodec.of(List.of(
                StatusCodec.create(),
                FollowCodec.create(),
                PlacementCodec.create(),
                RateLimitCodec.create(),
                NoticeCodec.create()));
    }

    private Work workOf(long ticket) {
        return placement.workOf(ticket);
    }

    /**
     * Leads; in a mesh, where every entry decides by what all tell each other, nobody but those that may send where
     * this entry may not. Nobody either where no endpoint takes the request from this entry.
     */
    private List<EntryId> placersOf(PlacementRequest request) {
        if (placement.isRejectedByAllEndpoints(request)) {
            return List.of();
        }
        return peers.isMeshed() ? placement.entriesWithRateLimitShare(request) : peers.ownLeads();
    }

    /** How this entry follows the key-value service. */
    private final class Following implements KeyValueFollowComponent.WatchRole {
        @Override
        public boolean reliesOnLeads() {
            return !peers.isMeshed() && !peers.isFirstLead();
        }

        @Override
        public boolean isServing() {
            return configuration.current().isPresent();
        }

        @Override
        public boolean hasFollowers() {
            return peers.isFirstLead();
        }

        @Override
        public void sendToFollowers(FollowMessage.Changes tell) {
            peers.sendToFollowers(tell);
        }
    }

    /** Who places requests beside this entry. */
    private final class Placing implements PlacementComponent.Fleet {
        /** So much less of the slack has an entry that decides alone, of which there may be many for a moment. */
        private static final int SHARES_OF_LONE_ENTRY = 5;

        @Override
        public int placingEntryCount() {
            return peers.isMeshed()
                    ? peers.aliveCount()
                    : Math.max(1, peers.firstLeads().size());
        }

        /**
         * In a mesh one share each. Of leads each has one, the second ones too, since a part of the entries may have
         * turned to them already: 10 shares at 95 entries in five failure domains, as at 300.
         */
        @Override
        public int retryShareCount() {
            if (peers.isMeshed()) {
                return peers.aliveCount();
            }
            List<EntryId> leads = peers.allLeads();
            boolean leading = leads.contains(self);
            return leading ? leads.size() : SHARES_OF_LONE_ENTRY * peers.aliveCount();
        }

        /** One share for each known entry of a mesh; else one for each lead of the endpoint's failure domain. */
        @Override
        public int coldShareCount(FailureDomain domain) {
            if (peers.isMeshed()) {
                return peers.knownCount();
            }
            return leads(domain) ? PeersComponent.MAX_LEADS_PER_DOMAIN : 0;
        }

        @Override
        public void sendToAllPlacers(PeerMessage message) {
            peers.sendToAllLeads(message);
        }

        @Override
        public void sendToPlacersFor(FailureDomain domain, PeerMessage message) {
            peers.sendToFirstLeadOf(domain, message);
        }
    }

    /** Whether this entry is a lead of the failure domain, and not cut off from it. */
    private boolean leads(FailureDomain domain) {
        return domain.equals(ownDomain) && peers.ownLeads().contains(self) && peers.isMajorityOfOwnDomainAlive();
    }

    /** Who sends to endpoints with a rate limit, and who hears what endpoints say of themselves. */
    private final class Limiting implements RateLimitsComponent.Fleet {
        @Override
        public RateLimitShares sharesFor(ListedEndpoint endpoint) {
            if (peers.isMeshed()) {
                return RateLimitShares.ofMesh(peers.servingOrRecentlySilent());
            }
            return leads(endpoint.domain())
                    ? RateLimitShares.ofLeads(peers.ownLeads())
                    : RateLimitShares.ofUnknownPlacers();
        }

        @Override
        public void broadcast(PeerMessage news) {
            if (peers.allLeads().contains(self)) {
                peers.sendToAllLeads(news);
            } else {
                peers.sendToOwnLeads(news);
            }
        }

        @Override
        public void sendToFollowers(PeerMessage news) {
            if (peers.ownLeads().contains(self)) {
                peers.sendToFollowers(news);
            }
        }

        @Override
        public boolean forwardsFor(EntryId from) {
            List<EntryId> leads = peers.allLeads();
            return !peers.isMeshed() && leads.contains(self) && !leads.contains(from);
        }
    }

    private void announceOrders() {
        placement.updateLocallyLoading(orders.loading());
        peers.sendStatusNow();
    }

    @Override
    public String reasonNotReady(long nowNanos) {
        return configuration.current().isPresent() ? "" : "has no configuration yet";
    }

    @Override
    public long revision() {
        return follow.revision();
    }

    @Override
    public OptionalLong confirmedNanos() {
        return follow.confirmedNanos();
    }

    @Override
    public ImmutableList<PeerStatus.Load> loads() {
        return placement.loads();
    }

    @Override
    public ImmutableList<EndpointIncarnation> loading() {
        return orders.loading();
    }

    @Override
    public ImmutableList<PeerStatus.Weights> weights() {
        return orders.weightsHeard();
    }
}

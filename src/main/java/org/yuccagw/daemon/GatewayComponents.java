package org.yuccagw.daemon;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.yuccagw.adapters.peer.FollowCodec;
import org.yuccagw.adapters.peer.NamingCodec;
import org.yuccagw.adapters.peer.NoticeCodec;
import org.yuccagw.adapters.peer.OriginCodec;
import org.yuccagw.adapters.peer.PeerCodec;
import org.yuccagw.adapters.peer.PlacementCodec;
import org.yuccagw.adapters.peer.RateLimitCodec;
import org.yuccagw.adapters.peer.StatusCodec;
import org.yuccagw.adapters.peer.SuspectCodec;
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
import org.yuccagw.core.follow.OtherEntries;
import org.yuccagw.core.follow.WatchRole;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.notice.NoticesComponent;
import org.yuccagw.core.origin.StreamOriginsComponent;
import org.yuccagw.core.peers.LocalState;
import org.yuccagw.core.peers.PeerStatus;
import org.yuccagw.core.peers.PeersComponent;
import org.yuccagw.core.peers.RegistrationComponent;
import org.yuccagw.core.placing.ContinuationComponent;
import org.yuccagw.core.placing.PlacementBounds;
import org.yuccagw.core.placing.PlacementClient;
import org.yuccagw.core.placing.PlacementComponent;
import org.yuccagw.core.placing.PlacementRequest;
import org.yuccagw.core.placing.PlacementResponder;
import org.yuccagw.core.placing.SuspectPartCheck;
import org.yuccagw.core.placing.Work;
import org.yuccagw.core.port.PeerMessage;
import org.yuccagw.core.ratelimit.EndpointConstraints;
import org.yuccagw.core.ratelimit.InternalCalls;
import org.yuccagw.core.ratelimit.RateLimitShares;
import org.yuccagw.core.ratelimit.RateLimitsComponent;
import org.yuccagw.core.stores.EngineCachesComponent;
import org.yuccagw.core.stores.RetiredPartsComponent;
import org.yuccagw.core.stores.StoresComponent;
import org.yuccagw.core.suspect.SuspectPartsComponent;

/**
 * The components of the control core of an entry on the users' platform.
 *
 * <p>Components depend on each other in cycles, which this class resolves: heartbeats carry the loads of endpoints,
 * placement needs the number of entries, and a change of the outstanding orders triggers a heartbeat.
 */
final class GatewayComponents implements LocalState {
    private static final String WEIGHT_ORDERS_DUTY = "weights";

    private final EntryId self;
    private final FailureDomain ownDomain;
    private final KeyValueFollowComponent follow;
    private final ConfigurationComponent configuration;
    private final PeersComponent peers;
    private final StoresComponent stores;
    private final StreamOriginsComponent origins;
    private final PlacementComponent placement;
    private final DutyComponent duty;
    private final WeightOrdersComponent orders;
    private final List<ControlComponent> components;

    private GatewayComponents(GatewaySettings settings, KeyValueRecordCodec codec) {
        self = settings.entry();
        ownDomain = settings.domain();
        follow = KeyValueFollowComponent.of(codec, watchRole(settings), new AskedEntries());
        configuration = ConfigurationComponent.create();
        peers = PeersComponent.of(this, settings.seeds());
        origins = StreamOriginsComponent.of(codec, peers.topology()::allLeadContacts, follow::confirmCopy);
        NamedWeightsComponent weights =
                NamedWeightsComponent.of(settings.bounds().oldWeightsAllowed(), this::entriesThatKnowNamings);
        stores = StoresComponent.of(peers.topology()::firstLeads);
        RateLimitFleet rateLimitFleet = new RateLimitFleet();
        NoticesComponent notices = NoticesComponent.of(rateLimitFleet);
        RateLimitsComponent rateLimits = RateLimitsComponent.of(rateLimitFleet);
        EndpointConstraints constraints = new EndpointConstraints(rateLimits, notices);
        InternalCalls internalCalls = InternalCalls.of(constraints);
        EngineCachesComponent caches = EngineCachesComponent.of(peers.topology()::ownLeads, internalCalls);
        SuspectPartsComponent suspects = SuspectPartsComponent.of(new SuspectFleet());
        PlacementResponder responder = PlacementResponder.of(this::workOf, notices);
        placement = PlacementComponent.of(
                new PlacementBounds(
                        settings.bounds().retries(), settings.bounds().coldEndpoints()),
                settings.regions(),
                weights,
                new PlacementComponent.CacheContents(stores, caches),
                constraints,
                suspects,
                new PlacementFleet(),
                responder);
        PlacementClient client = placementClient(weights, notices, suspects);
        duty = DutyComponent.of(
                WEIGHT_ORDERS_DUTY,
                codec,
                peers.topology()::allLeads,
                follow::isReachable,
                settings.bounds().minOrderSeparation());
        orders = WeightOrdersComponent.of(
                duty, weights, this::announceOrderChange, placement::requestsOn, internalCalls);
        RetiredPartsComponent retired =
                RetiredPartsComponent.of(duty::mayAct, weights, orders::lowestRunningVersion, stores);
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
                suspects,
                client,
                responder,
                placement,
                duty,
                orders,
                retired,
                origins,
                ContinuationComponent.of(origins));
    }

    private PlacementClient placementClient(
            NamedWeightsComponent weights, NoticesComponent notices, SuspectPartsComponent suspects) {
        return PlacementClient.of(
                this::placingEntriesFor,
                placement::usableEndpoint,
                placement::excludedEndpoints,
                weights,
                notices,
                SuspectPartCheck.of(suspects));
    }

    /** Returns the entries that watch the key-value service themselves and are asked when weights were named. */
    private List<EntryId> entriesThatKnowNamings() {
        return peers.topology().isMeshed()
                ? peers.knownEntries()
                : peers.topology().allLeads();
    }

    private WatchRole watchRole(GatewaySettings settings) {
        return settings.bounds().unconfirmedKeyTimeout().isPresent()
                ? WatchRole.alwaysWatching()
                : new GatewayWatchRole();
    }

    static GatewayComponents of(GatewaySettings settings, KeyValueRecordCodec codec) {
        return new GatewayComponents(settings, codec);
    }

    /** Returns the components in the order in which they receive an event. Those that others query come first. */
    List<ControlComponent> inEventOrder() {
        return components;
    }

    ControlCore core(EntryIdentity identity) {
        return ControlCore.of(
                identity,
                new SplittableRandom(identity.incarnation() ^ identity.entry().hashCode()),
                components);
    }

    /** Returns the number of requests that run on an endpoint, as known to this entry. */
    int requestsOn(EndpointId endpoint) {
        return placement.requestsOn(endpoint);
    }

    /** Returns the leads of the failure domain of this entry. */
    List<EntryId> ownLeads() {
        return peers.topology().ownLeads();
    }

    /** Returns whether this entry may send requests to the endpoint, according to its local view. */
    boolean isUsable(EndpointIncarnation endpoint) {
        return placement.usableEndpoint(endpoint).isPresent();
    }

    static PeerCodec codec() {
        return PeerCodec.of(List.of(
                StatusCodec.create(),
                FollowCodec.create(),
                NamingCodec.create(),
                PlacementCodec.create(),
                RateLimitCodec.create(),
                NoticeCodec.create(),
                OriginCodec.create(),
                SuspectCodec.create()));
    }

    /** The entries that this one asks after its start. */
    private final class AskedEntries implements OtherEntries {
        @Override
        public List<EntryId> known() {
            return peers.knownEntries();
        }

        @Override
        public boolean hasUnheardSeeds() {
            return peers.hasUnheardSeeds();
        }

        @Override
        public void introduceTo(EntryId entry) {
            peers.introduceTo(entry);
        }
    }

    private Work workOf(long ticket) {
        return placement.workOf(ticket);
    }

    /**
     * Returns the entries that may place a request for this entry: the leads of its failure domain. In a mesh, every
     * entry places its own requests by the state that all entries exchange; the list then contains only entries that
     * have a share of the rate limit of an endpoint where this entry has none. It is empty if all endpoints reject the
     * request from this entry. If its endpoints can reject few requests, only the owners of their room place it.
     */
    private List<EntryId> placingEntriesFor(PlacementRequest request) {
        if (placement.isRejectedByAllEndpoints(request)) {
            return List.of();
        }
        List<EntryId> roomOwners = placement.roomOwners(request);
        if (!roomOwners.isEmpty()) {
            return roomOwners;
        }
        return peers.topology().isMeshed()
                ? placement.entriesWithRateLimitShare(request)
                : peers.topology().ownLeads();
    }

    /** The role of this entry in following the key-value service. */
    private final class GatewayWatchRole implements WatchRole {
        @Override
        public boolean reliesOnLeads() {
            return !peers.topology().isMeshed() && !peers.topology().isFirstLead();
        }

        @Override
        public boolean isServing() {
            return configuration.current().isPresent();
        }

        @Override
        public boolean hasFollowers() {
            return peers.topology().isFirstLead();
        }

        @Override
        public void sendToFollowers(FollowMessage.Changes changes) {
            peers.messenger().sendToFollowers(changes);
        }
    }

    /** The entries that place requests, as the placement component needs them. */
    private final class PlacementFleet implements PlacementComponent.Fleet {
        @Override
        public int placingEntryCount() {
            return peers.topology().isMeshed()
                    ? peers.aliveCount()
                    : Math.max(1, peers.topology().firstLeads().size());
        }

        @Override
        public boolean isPlacingEntry(EntryId entry) {
            return peers.topology().isMeshed() || peers.topology().firstLeads().contains(entry);
        }

        @Override
        public double retryShare(Duration window) {
            return peers.shares().placingShare(window);
        }

        /** In a mesh, each known entry has one share. Otherwise each lead of the endpoint's failure domain has one. */
        @Override
        public int coldShareCount(FailureDomain domain) {
            if (peers.topology().isMeshed()) {
                return peers.shares().entries();
            }
            return isConnectedLeadOf(domain) ? PeersComponent.MAX_LEADS_PER_DOMAIN : 0;
        }

        @Override
        public Optional<EntryId> roomOwner(ListedEndpoint endpoint) {
            if (peers.topology().isMeshed()) {
                return RateLimitShares.ofMesh(peers.servingOrRecentlySilent()).firstOwner(endpoint);
            }
            return RateLimitShares.ofMesh(peers.topology().firstLeadContacts())
                    .firstOwner(endpoint)
                    .filter(owner -> !owner.equals(self) || peers.isConnectedLead());
        }

        @Override
        public void sendToAllPlacers(PeerMessage message) {
            peers.messenger().sendToAllLeads(message);
        }

        @Override
        public void sendToFollowers(PeerMessage message) {
            if (peers.topology().ownLeads().contains(self)) {
                peers.messenger().sendToFollowers(message);
            }
        }

        @Override
        public void sendToPlacersFor(FailureDomain domain, PeerMessage message) {
            peers.messenger().sendToFirstLeadOf(domain, message);
        }
    }

    /** The entries that exchange which parts of prompts make endpoints crash: those that place requests. */
    private final class SuspectFleet implements SuspectPartsComponent.Fleet {
        @Override
        public boolean isReminding() {
            return peers.topology().isMeshed() || peers.topology().isFirstLead();
        }

        @Override
        public void sendToDeciding(PeerMessage message) {
            peers.messenger().sendToAllLeads(message);
        }

        @Override
        public void sendToAll(PeerMessage message) {
            peers.messenger().sendToAllLeads(message);
            if (peers.topology().allLeads().contains(self)) {
                peers.messenger().sendToFollowers(message);
            }
        }
    }

    /** Returns whether this entry is a lead of the failure domain and is not partitioned from most of its entries. */
    private boolean isConnectedLeadOf(FailureDomain domain) {
        return domain.equals(ownDomain) && peers.isConnectedLead();
    }

    /** The entries that send to rate-limited endpoints, and the receivers of endpoint updates. */
    private final class RateLimitFleet implements RateLimitsComponent.Fleet {
        @Override
        public RateLimitShares sharesFor(ListedEndpoint endpoint) {
            if (peers.topology().isMeshed()) {
                return RateLimitShares.ofMesh(peers.servingOrRecentlySilent());
            }
            return isConnectedLeadOf(endpoint.domain())
                    ? RateLimitShares.ofLeads(peers.topology().ownLeads())
                    : RateLimitShares.ofUnknownPlacers();
        }

        @Override
        public void broadcast(PeerMessage update) {
            if (peers.topology().allLeads().contains(self)) {
                peers.messenger().sendToAllLeads(update);
            } else {
                peers.messenger().sendToOwnLeads(update);
            }
        }

        @Override
        public void sendToFollowers(PeerMessage update) {
            if (peers.topology().ownLeads().contains(self)) {
                peers.messenger().sendToFollowers(update);
            }
        }

        @Override
        public boolean forwardsFor(EntryId from) {
            List<EntryId> leads = peers.topology().allLeads();
            return !peers.topology().isMeshed() && leads.contains(self) && !leads.contains(from);
        }
    }

    private void announceOrderChange() {
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
        return orders.reportedWeights();
    }

    @Override
    public ImmutableList<PeerStatus.Queued> queued() {
        return placement.queued();
    }
}

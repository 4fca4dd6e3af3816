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
import org.yuccagw.core.control.ControlCore;
import org.yuccagw.core.control.ControlPart;
import org.yuccagw.core.control.EntryIdentity;
import org.yuccagw.core.duty.DutyPart;
import org.yuccagw.core.duty.WeightOrdersPart;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.follow.ConfiguredPart;
import org.yuccagw.core.follow.FactCodec;
import org.yuccagw.core.follow.FollowMessage;
import org.yuccagw.core.follow.FollowPart;
import org.yuccagw.core.follow.NamedWeightsPart;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.notice.NoticesPart;
import org.yuccagw.core.peers.PeerStatus;
import org.yuccagw.core.peers.PeersPart;
import org.yuccagw.core.peers.RegistrationPart;
import org.yuccagw.core.placing.PlaceAsked;
import org.yuccagw.core.placing.PlacingBounds;
import org.yuccagw.core.placing.PlacingDesk;
import org.yuccagw.core.placing.PlacingPart;
import org.yuccagw.core.placing.PlacingRelay;
import org.yuccagw.core.placing.Work;
import org.yuccagw.core.port.PeerMessage;
import org.yuccagw.core.ratelimit.EndpointAsks;
import org.yuccagw.core.ratelimit.OwnCalls;
import org.yuccagw.core.ratelimit.RateLimitsPart;
import org.yuccagw.core.ratelimit.Senders;
import org.yuccagw.core.stores.EngineCachesPart;
import org.yuccagw.core.stores.RetiredPartsPart;
import org.yuccagw.core.stores.StoresPart;

/**
 * The parts of the control core of an entry on the users' platform.
 *
 * <p>Parts ask each other through this object, since each needs something of another: heartbeats carry loads, placing
 * needs the number of entries, orders announce themselves by a heartbeat.
 */
final class GatewayParts implements PeersPart.Knowledge {
    private static final String WEIGHTS_DUTY = "weights";

    private final EntryId self;
    private final FailureDomain ownDomain;
    private final FollowPart follow;
    private final ConfiguredPart configured;
    private final PeersPart peers;
    private final StoresPart stores;
    private final PlacingPart placing;
    private final DutyPart duty;
    private final WeightOrdersPart orders;
    private final List<ControlPart> parts;

    private GatewayParts(GatewaySettings settings, FactCodec codec) {
        self = settings.entry();
        ownDomain = settings.domain();
        follow = FollowPart.of(
                codec,
                settings.bounds().keysUnconfirmed().isPresent() ? FollowPart.Fleet.ofWatchers() : new Following());
        configured = ConfiguredPart.create();
        peers = PeersPart.of(this, settings.seeds());
        NamedWeightsPart weights = NamedWeightsPart.of(settings.bounds().oldWeightsAllowed());
        stores = StoresPart.of(peers::firstLeads);
        Limiting fleet = new Limiting();
        NoticesPart notices = NoticesPart.of(fleet);
        RateLimitsPart rateLimits = RateLimitsPart.of(fleet);
        EndpointAsks asks = new EndpointAsks(rateLimits, notices);
        OwnCalls calls = OwnCalls.of(asks);
        EngineCachesPart caches = EngineCachesPart.of(peers::ownLeads, calls);
        PlacingDesk desk = PlacingDesk.of(this::workOf, notices);
        placing = PlacingPart.of(
                new PlacingBounds(settings.bounds().retries(), settings.bounds().cold()),
                settings.regions(),
                weights,
                stores,
                caches,
                asks,
                new Placing(),
                desk);
        PlacingRelay relay = PlacingRelay.of(this::placersOf, placing::usableEndpoint, placing::spared, notices);
        duty = DutyPart.of(
                WEIGHTS_DUTY,
                codec,
                peers::allLeads,
                follow::isReachable,
                settings.bounds().orderSeparation());
        orders = WeightOrdersPart.of(duty, weights, this::announceOrders, placing::requestsOn, calls);
        RetiredPartsPart retired = RetiredPartsPart.of(duty::mayAct, weights, orders::lowestRunning, stores);
        parts = List.of(
                follow,
                configured,
                weights,
                peers,
                RegistrationPart.of(codec),
                notices,
                rateLimits,
                stores,
                caches,
                relay,
                desk,
                placing,
                duty,
                orders,
                retired);
    }

    static GatewayParts of(GatewaySettings settings, FactCodec codec) {
        return new GatewayParts(settings, codec);
    }

    /** In the order in which an event goes through them: those that others ask come first. */
    List<ControlPart> list() {
        return parts;
    }

    ControlCore core(EntryIdentity self) {
        return ControlCore.of(
                self, new SplittableRandom(self.incarnation() ^ self.entry().hashCode()), parts);
    }

    /** How many requests run on an endpoint, as far as this entry knows. */
    int requestsOn(EndpointId endpoint) {
        return placing.requestsOn(endpoint);
    }

    /** Who leads the failure domain of this entry. */
    List<EntryId> ownLeads() {
        return peers.ownLeads();
    }

    /** Whether this entry may use the endpoint as far as it knows. */
    boolean isUsable(EndpointIncarnation endpoint) {
        return placing.usableEndpoint(endpoint).isPresent();
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
        return placing.workOf(ticket);
    }

    /**
     * Leads; in a mesh, where every entry decides by what all tell each other, nobody but those that may send where
     * this entry may not. Nobody either where no endpoint takes the request from this entry.
     */
    private List<EntryId> placersOf(PlaceAsked asked) {
        if (placing.isTurnedAway(asked)) {
            return List.of();
        }
        return peers.isMeshed() ? placing.othersWithinLimits(asked) : peers.ownLeads();
    }

    /** How this entry follows the key-value service. */
    private final class Following implements FollowPart.Fleet {
        @Override
        public boolean reliesOnOthers() {
            return !peers.isMeshed() && !peers.isFirstLead();
        }

        @Override
        public boolean isServing() {
            return configured.present().isPresent();
        }

        @Override
        public boolean isReliedOn() {
            return peers.isFirstLead();
        }

        @Override
        public void tellFollowers(FollowMessage.Tell tell) {
            peers.tellFollowers(tell);
        }
    }

    /** Who places requests beside this entry. */
    private final class Placing implements PlacingPart.Fleet {
        /** So much less of the slack has an entry that decides alone, of which there may be many for a moment. */
        private static final int SHARES_OF_LONE_ENTRY = 5;

        @Override
        public int placing() {
            return peers.isMeshed()
                    ? peers.aliveCount()
                    : Math.max(1, peers.firstLeads().size());
        }

        /**
         * In a mesh one share each. Of leads each has one, the second ones too, since a part of the entries may have
         * turned to them already: 10 shares at 95 entries in five failure domains, as at 300.
         */
        @Override
        public int retryShares() {
            if (peers.isMeshed()) {
                return peers.aliveCount();
            }
            List<EntryId> leads = peers.allLeads();
            boolean leading = leads.contains(self);
            return leading ? leads.size() : SHARES_OF_LONE_ENTRY * peers.aliveCount();
        }

        /** One share for each known entry of a mesh; else one for each lead of the endpoint's failure domain. */
        @Override
        public int coldShares(FailureDomain domain) {
            if (peers.isMeshed()) {
                return peers.knownCount();
            }
            return leads(domain) ? PeersPart.LEADS_OF_DOMAIN : 0;
        }

        @Override
        public void tellAll(PeerMessage message) {
            peers.tellAll(message);
        }

        @Override
        public void tellOfEndpoint(FailureDomain domain, PeerMessage message) {
            peers.tellOfEndpoint(domain, message);
        }
    }

    /** Whether this entry is a lead of the failure domain, and not cut off from it. */
    private boolean leads(FailureDomain domain) {
        return domain.equals(ownDomain) && peers.ownLeads().contains(self) && peers.hearsMostOfOwnDomain();
    }

    /** Who sends to endpoints with a rate limit, and who hears what endpoints say of themselves. */
    private final class Limiting implements RateLimitsPart.Fleet {
        @Override
        public Senders sendersTo(ListedEndpoint endpoint) {
            if (peers.isMeshed()) {
                return Senders.ofMesh(peers.servingOrSilent());
            }
            return leads(endpoint.domain()) ? Senders.ofLeads(peers.ownLeads()) : Senders.nobody();
        }

        @Override
        public void tell(PeerMessage news) {
            if (peers.allLeads().contains(self)) {
                peers.tellAll(news);
            } else {
                peers.tellOwnLeads(news);
            }
        }

        @Override
        public void tellFollowers(PeerMessage news) {
            if (peers.ownLeads().contains(self)) {
                peers.tellFollowers(news);
            }
        }

        @Override
        public boolean speaksFor(EntryId from) {
            List<EntryId> leads = peers.allLeads();
            return !peers.isMeshed() && leads.contains(self) && !leads.contains(from);
        }
    }

    private void announceOrders() {
        placing.ownLoading(orders.loading());
        peers.beatNow();
    }

    @Override
    public String reasonAgainst(long nowNanos) {
        return configured.present().isPresent() ? "" : "has no configuration yet";
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
        return placing.loads();
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

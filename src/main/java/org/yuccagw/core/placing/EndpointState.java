package org.yuccagw.core.placing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.yuccagw.core.duty.WeightOrdersComponent;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.fleet.ModelWeights;
import org.yuccagw.core.peers.PeerStatus;

/**
 * What this entry holds of one start of an endpoint: its registration, what runs there as far as known, and what went
 * wrong.
 *
 * <p>Leaving is final for an incarnation: a late registration of before must not bring back an endpoint that ends.
 * Being unlisted is not: a registration may lapse while the key-value service is away. All that is believed of an
 * incarnation ends with this object when the next one registers.
 */
final class EndpointState {
    /** A first failed connection may be chance; an endpoint that is gone fails again at once. */
    private static final Duration FIRST_AVOIDANCE = Duration.ofMillis(400);

    private static final Duration LONGEST_AVOIDANCE = Duration.ofSeconds(3);

    /** How long an endpoint that refuses keeps refusing, mostly: about the time of a short request. */
    private static final Duration SHED_AVOIDANCE = Duration.ofMillis(60);

    /** Weight of the newest outcome in the share of faults: half of the memory is about ten outcomes. */
    static final double FAULT_MEMORY = 0.07;

    private ListedEndpoint listed;
    private boolean leaving;
    private long usableUntilNanos = Long.MAX_VALUE;
    private Work own = Work.NONE;
    private Work ofPeers = Work.NONE;
    private long avoidedUntilNanos = Long.MIN_VALUE;
    private long shedUntilNanos = Long.MIN_VALUE;
    private long loadingUntilNanos = Long.MIN_VALUE;
    private int unreachedInRow;
    private double faultShare;
    private boolean evacuated;
    private long coldUntilNanos = Long.MIN_VALUE;
    private final ArrayDeque<Long> sentNanos = new ArrayDeque<>();
    private final Map<String, Heard> heardVersions = new HashMap<>();

    /** Weights that were heard of otherwise than by the registration. */
    private record Heard(long version, long sinceNanos) {}

    EndpointState(ListedEndpoint listed, long nowNanos) {
        this.listed = listed;
        this.leaving = listed.leaving();
        coldFor(Duration.ofMillis(listed.coldMillis()), nowNanos);
    }

    ListedEndpoint listed() {
        return listed;
    }

    /** Takes over a newer registration of the same start. */
    void relist(ListedEndpoint newer, long nowNanos) {
        listed = newer;
        heardVersions
                .values()
                .removeIf(heard -> nowNanos - heard.sinceNanos() > WeightOrdersComponent.REGISTRATION_LAG.toNanos());
        leaving |= newer.leaving();
        usableUntilNanos = Long.MAX_VALUE;
        coldFor(Duration.ofMillis(newer.coldMillis()), nowNanos);
    }

    void leave() {
        leaving = true;
    }

    boolean leaving() {
        return leaving;
    }

    /** It isn't listed any more. */
    void unlist(long usableUntil) {
        usableUntilNanos = usableUntil;
    }

    boolean isUsable(long nowNanos) {
        return !leaving && !evacuated && (usableUntilNanos == Long.MAX_VALUE || nowNanos - usableUntilNanos < 0);
    }

    boolean isForgettable(long nowNanos) {
        return usableUntilNanos != Long.MAX_VALUE && nowNanos - usableUntilNanos > 0 && own.requests() == 0;
    }

    /** Whether nothing may be sent to its failure domain. */
    void evacuated(boolean nowEvacuated) {
        evacuated = nowEvacuated;
    }

    // ---- Cold.

    /** It is cold for so long from now on, whatever was known before. */
    void coldFor(Duration left, long nowNanos) {
        coldUntilNanos = left.isZero() ? Long.MIN_VALUE : nowNanos + left.toNanos();
    }

    boolean isCold(long nowNanos) {
        return coldLeftMillis(nowNanos) > 0;
    }

    long coldLeftMillis(long nowNanos) {
        return coldUntilNanos == Long.MIN_VALUE ? 0 : Math.max(0, (coldUntilNanos - nowNanos) / 1_000_000);
    }

    /** Notes that a request is sent there now. */
    void sent(long nowNanos) {
        forgetSent(nowNanos);
        sentNanos.add(nowNanos);
    }

    /** How many requests this entry sent there within the last {@link ColdLimit#SPAN}. */
    int sentLately(long nowNanos) {
        forgetSent(nowNanos);
        return sentNanos.size();
    }

    private void forgetSent(long nowNanos) {
        while (!sentNanos.isEmpty() && nowNanos - sentNanos.peek() >= ColdLimit.SPAN.toNanos()) {
            sentNanos.remove();
        }
    }

    // ---- Load.

    /** Counts work of this entry; what ended is given back by {@link #remove}. */
    void add(Work work) {
        own = own.plus(work);
    }

    void remove(Work work) {
        own = own.minus(work);
    }

    /** Replaces what one other entry said that it has there. */
    void replacePeerWork(Work before, Work now) {
        ofPeers = ofPeers.minus(before).plus(now).notBelowZero();
    }

    /** What this entry has running there, for others. */
    PeerStatus.Load load() {
        return new PeerStatus.Load(listed.incarnation(), own.requests(), own.tokens(), own.unreadTokens());
    }

    /** Of this entry. */
    Work own() {
        return own;
    }

    /** Of all entries, as far as known. */
    Work work() {
        return own.plus(ofPeers);
    }

    // ---- Health.

    void reached() {
        unreachedInRow = 0;
        avoidedUntilNanos = Long.MIN_VALUE;
    }

    void unreached(long nowNanos) {
        int doublings = Math.min(unreachedInRow, 4);
        unreachedInRow++;
        long wait = Math.min(FIRST_AVOIDANCE.toNanos() << doublings, LONGEST_AVOIDANCE.toNanos());
        avoidedUntilNanos = nowNanos + wait;
    }

    void shed(long nowNanos) {
        shedUntilNanos = nowNanos + SHED_AVOIDANCE.toNanos();
    }

    void outcome(boolean fault) {
        faultShare += FAULT_MEMORY * ((fault ? 1 : 0) - faultShare);
    }

    double faultShare() {
        return faultShare;
    }

    int unreachedInRow() {
        return unreachedInRow;
    }

    boolean isAvoided(long nowNanos) {
        return avoidedUntilNanos != Long.MIN_VALUE && nowNanos - avoidedUntilNanos < 0;
    }

    boolean hasJustShed(long nowNanos) {
        return shedUntilNanos != Long.MIN_VALUE && nowNanos - shedUntilNanos < 0;
    }

    // ---- Weights.

    void loadingUntil(long untilNanos) {
        loadingUntilNanos = untilNanos;
    }

    boolean isLoading(long nowNanos) {
        return loadingUntilNanos != Long.MIN_VALUE && nowNanos - loadingUntilNanos < 0;
    }

    void hear(ModelWeights runs, long nowNanos) {
        heardVersions.put(runs.model(), new Heard(runs.version(), nowNanos));
        loadingUntilNanos = Long.MIN_VALUE;
    }

    /** The version that it runs as far as known: the higher of registered and heard. */
    OptionalLong versionOf(String model) {
        OptionalLong registered = listed.versionOf(model);
        Heard heard = heardVersions.get(model);
        if (heard == null) {
            return registered;
        }
        return OptionalLong.of(Math.max(heard.version(), registered.orElse(0)));
    }
}

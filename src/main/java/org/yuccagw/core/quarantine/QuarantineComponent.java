package org.yuccagw.core.quarantine;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.yuccagw.core.catalogue.CatalogueChanged;
import org.yuccagw.core.catalogue.SystemLimits;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.ControlSnapshot;
import org.yuccagw.core.control.PeerReceived;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.ShardNumber;
import org.yuccagw.core.membership.EntryStatus;
import org.yuccagw.core.membership.MembersChanged;
import org.yuccagw.core.quarantine.QuarantinePeerMessage.Death;
import org.yuccagw.core.quarantine.QuarantinePeerMessage.Deaths;
import org.yuccagw.core.quarantine.QuarantinePeerMessage.PermitDecided;
import org.yuccagw.core.quarantine.QuarantinePeerMessage.PermitReleased;
import org.yuccagw.core.quarantine.QuarantinePeerMessage.PermitRequested;
import org.yuccagw.core.quarantine.QuarantinePeerMessage.RecordsRequested;
import org.yuccagw.core.quarantine.QuarantinePeerMessage.RecordsSent;
import org.yuccagw.core.quarantine.QuarantineRequested.Decision;
import org.yuccagw.core.quarantine.QuarantineRequested.PermitReturned;
import org.yuccagw.core.shard.ShardAuthority;
import org.yuccagw.core.shard.ShardGained;
import org.yuccagw.core.shard.ShardLost;
import org.yuccagw.core.shard.Shards;
import org.yuccagw.core.shard.ShardsSnapshot;
import org.yuccagw.core.shard.ShardsSnapshot.Ownership;
import org.yuccagw.core.suspect.EndpointCrashed;
import org.yuccagw.core.suspect.LostAttempt;
import org.yuccagw.core.suspect.SuspectMessage;
import org.yuccagw.core.suspect.SuspectPartsComponent;

/**
 * Prevents a prompt from terminating one endpoint after another, whichever entries its caller sends it to.
 *
 * <p>A prompt without a recorded termination runs without restriction. After one termination it runs isolated: each
 * attempt requires the single permit that the owner of the prompt's shard issues. After two terminations every entry
 * refuses the prompt for the quarantine time. Prompts that differ but share a part that terminates endpoints are
 * refused by {@link SuspectPartsComponent}.
 *
 * <p>A termination is pushed to all entries when it is observed, before the caller can learn of it. Each entry also
 * periodically sends the terminations that it knows to one random entry, so a lost push is repaired and the record
 * remains if the entry that observed the termination fails. A process that has started asks others for their records
 * before it decides anything, and every new process of an entry is sent them. Other prompts that ran on the same
 * endpoint are counted too, because the one that terminated it can't be identified; running isolated, they don't cause
 * a second termination.
 */
public final class QuarantineComponent implements ControlComponent {
    private static final Duration EXCHANGE_INTERVAL = Duration.ofSeconds(2);
    private static final Duration RENEWAL_INTERVAL = Duration.ofSeconds(2);
    private static final Duration PERMIT_RETRY_DELAY = Duration.ofMillis(250);
    private static final int MAX_PERMIT_REQUESTS = 8;
    private static final int PERMIT_NUMBER_BITS = 20;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(2);
    private static final int MAX_FINGERPRINTS_PER_MESSAGE = 50;

    private final Supplier<ShardsSnapshot> shards;
    private final ShardAuthority authority;
    private final SuspectPartsComponent suspectParts;
    private final DeathRecords deaths = new DeathRecords();
    private final PermitIssuer issuer = new PermitIssuer();
    private final Map<Long, WaitingAttempt> waitingByPermit = new HashMap<>();
    private final Map<Long, PromptFingerprint> heldPermits = new HashMap<>();
    private final StartupTransfer startup = StartupTransfer.of(this::handleRequest);
    private Map<EntryId, Long> otherEntries = Map.of();
    private SystemLimits limits = SystemLimits.defaults();
    private ControlContext context;
    private long nextPermitNumber;

    private record WaitingAttempt(QuarantineRequested request, int requestsSent) {}

    private QuarantineComponent(
            ShardAuthority authority, Supplier<ShardsSnapshot> shards, SuspectPartsComponent suspectParts) {
        this.authority = authority;
        this.suspectParts = suspectParts;
        this.shards = shards;
    }

    /**
     * Creates the component.
     *
     * @param authority checks the lease immediately before a permit is granted
     * @param shards supplies the owners of the shards in the local view; called on the control thread
     * @param suspectParts knows the parts of prompts that make endpoints crash
     */
    public static QuarantineComponent of(
            ShardAuthority authority, Supplier<ShardsSnapshot> shards, SuspectPartsComponent suspectParts) {
        return new QuarantineComponent(authority, shards, suspectParts);
    }

    @Override
    public void start(ControlContext startContext) {
        context = startContext;
        // A restarted entry must not use permit numbers of its previous process.
        nextPermitNumber = context.self().incarnation() << PERMIT_NUMBER_BITS;
        startup.start(context);
        context.after(EXCHANGE_INTERVAL, this::exchangeDeaths);
        context.after(RENEWAL_INTERVAL, this::renewPermits);
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof QuarantineRequested request) {
            startup.submit(request);
        } else if (event instanceof EndpointTerminated terminated) {
            recordTermination(terminated);
        } else if (event instanceof PermitReturned returned) {
            returnPermit(returned);
        } else if (event instanceof PeerReceived received
                && received.message() instanceof QuarantinePeerMessage message) {
            receive(received.from(), message);
        } else if (event instanceof MembersChanged changed) {
            updateMembers(changed);
        } else if (event instanceof ShardGained gained) {
            issuer.shardGained(gained.shard(), context.nowNanos());
        } else if (event instanceof ShardLost lost) {
            issuer.shardLost(lost.shard());
        } else if (event instanceof CatalogueChanged changed) {
            limits = changed.catalogue().system();
        }
    }

    @Override
    public void contribute(ControlSnapshot.Builder snapshot) {
        snapshot.put(QuarantineSnapshot.class, new QuarantineSnapshot(deaths.size(), heldPermits.size()));
    }

    private void handleRequest(QuarantineRequested request) {
        deaths.expire(limits.quarantine(), context.nowNanos());
        int count = deaths.count(request.fingerprint());
        Optional<SuspectMessage.Refused> part = suspectParts.refusedPart(request.parts());
        if (part.isPresent()) {
            refuse(request, part.get().crashes(), limits.quarantine());
        } else if (count == 0) {
            reply(request, new Decision.Unrestricted());
        } else if (count >= DeathRecords.MAX_DEATHS) {
            refuse(request);
        } else {
            requestPermit(nextPermitNumber++, new WaitingAttempt(request, 0));
        }
    }

    private void refuse(QuarantineRequested request) {
        Duration since = deaths.sinceLast(request.fingerprint(), context.nowNanos());
        refuse(request, deaths.count(request.fingerprint()), limits.quarantine().minus(since));
    }

    private void refuse(QuarantineRequested request, int count, Duration left) {
        reply(
                request,
                new Decision.Refused(ErrorKind.QUARANTINED
                        .raise(count, Math.max(1, left.toSeconds()))
                        .withRetryAfter(left)));
    }

    private void reply(QuarantineRequested request, Decision decision) {
        context.reply(() -> request.reply().accept(decision));
    }

    /**
     * Requests a permit from the owner until it is granted. After the maximum number of requests the attempt is
     * refused, because another run that holds the permit takes long.
     */
    private void requestPermit(long permit, WaitingAttempt attempt) {
        if (attempt.requestsSent() == MAX_PERMIT_REQUESTS) {
            waitingByPermit.remove(permit);
            sendToOwner(
                    attempt.request().fingerprint(),
                    new PermitReleased(attempt.request().fingerprint(), permit));
            reply(
                    attempt.request(),
                    new Decision.Refused(
                            ErrorKind.OVERLOADED.raise(RETRY_AFTER.toMillis()).withRetryAfter(RETRY_AFTER)));
            return;
        }
        waitingByPermit.put(permit, new WaitingAttempt(attempt.request(), attempt.requestsSent() + 1));
        sendToOwner(
                attempt.request().fingerprint(),
                new PermitRequested(attempt.request().fingerprint(), permit, false));
        context.after(PERMIT_RETRY_DELAY, () -> {
            WaitingAttempt waitingAttempt = waitingByPermit.get(permit);
            if (waitingAttempt != null) {
                requestPermit(permit, waitingAttempt);
            }
        });
    }

    private void recordTermination(EndpointTerminated terminated) {
        EndpointIncarnation endpoint = terminated.endpoint();
        LostAttempt lost = new LostAttempt(terminated.parts(), terminated.sentAge(), Duration.ZERO);
        context.raise(new EndpointCrashed(endpoint, ImmutableList.of(lost)));
        Death death = new Death(terminated.fingerprint(), endpoint.endpoint(), endpoint.startedMillis(), Duration.ZERO);
        if (deaths.add(death, context.nowNanos())) {
            Deaths message = new Deaths(List.of(death));
            otherEntries.keySet().forEach(peer -> context.send(peer, message));
            refuseWaitingAttempts(terminated.fingerprint());
        }
    }

    /** Refuses the attempts that wait for a permit as soon as the prompt has terminated a second endpoint. */
    private void refuseWaitingAttempts(PromptFingerprint fingerprint) {
        if (deaths.count(fingerprint) < DeathRecords.MAX_DEATHS) {
            return;
        }
        List<Long> refusedPermits = waitingByPermit.entrySet().stream()
                .filter(entry -> entry.getValue().request().fingerprint().equals(fingerprint))
                .map(Map.Entry::getKey)
                .toList();
        refusedPermits.forEach(permit -> refuse(waitingByPermit.remove(permit).request()));
    }

    private void returnPermit(PermitReturned returned) {
        if (heldPermits.remove(returned.permit()) != null) {
            sendToOwner(returned.fingerprint(), new PermitReleased(returned.fingerprint(), returned.permit()));
        }
    }

    private void receive(EntryId from, QuarantinePeerMessage message) {
        if (message instanceof Deaths received) {
            addAll(received.deaths());
        } else if (message instanceof RecordsRequested) {
            context.send(from, new RecordsSent(allDeaths(), suspectParts.refusedParts(), startup.isComplete()));
        } else if (message instanceof RecordsSent sent) {
            addAll(sent.deaths());
            suspectParts.refuseAll(sent.refusedParts());
            startup.onRecordsSent(from, sent);
        } else if (message instanceof PermitRequested request) {
            decideOnPermit(from, request);
        } else if (message instanceof PermitDecided decided) {
            handlePermitDecision(decided);
        } else if (message instanceof PermitReleased released) {
            issuer.release(released.fingerprint(), from, released.number());
        }
    }

    private void addAll(List<Death> received) {
        for (Death death : received) {
            if (deaths.add(death, context.nowNanos())) {
                refuseWaitingAttempts(death.fingerprint());
            }
        }
    }

    private void decideOnPermit(EntryId from, PermitRequested request) {
        Optional<ShardNumber> shard = shardOf(request.fingerprint());
        boolean ownsShard = shard.isPresent() && issuer.ownsShard(shard.get());
        boolean holdsLease = ownsShard
                && authority.epochIfHeld(shard.get(), context.nowNanos()).isPresent();
        boolean granted = holdsLease
                && deaths.count(request.fingerprint()) < DeathRecords.MAX_DEATHS
                && issuer.grantOrRenew(
                        shard.get(),
                        request.fingerprint(),
                        from,
                        request.number(),
                        request.renewal(),
                        context.nowNanos());
        send(from, new PermitDecided(request.fingerprint(), request.number(), granted));
    }

    private void handlePermitDecision(PermitDecided decided) {
        long permit = decided.number();
        WaitingAttempt attempt = decided.granted() ? waitingByPermit.remove(permit) : null;
        if (attempt != null) {
            heldPermits.put(permit, decided.fingerprint());
            reply(attempt.request(), new Decision.Isolated(permit));
        } else if (decided.granted() && !heldPermits.containsKey(permit)) {
            sendToOwner(decided.fingerprint(), new PermitReleased(decided.fingerprint(), permit));
        }
    }

    private void renewPermits() {
        heldPermits.forEach(
                (permit, fingerprint) -> sendToOwner(fingerprint, new PermitRequested(fingerprint, permit, true)));
        issuer.expire(context.nowNanos());
        context.after(RENEWAL_INTERVAL, this::renewPermits);
    }

    private void exchangeDeaths() {
        deaths.expire(limits.quarantine(), context.nowNanos());
        if (deaths.size() > 0 && !otherEntries.isEmpty()) {
            List<EntryId> peers = List.copyOf(otherEntries.keySet());
            EntryId peer = peers.get(context.random().nextInt(peers.size()));
            context.send(peer, new Deaths(deaths.newest(MAX_FINGERPRINTS_PER_MESSAGE, context.nowNanos())));
        }
        context.after(EXCHANGE_INTERVAL, this::exchangeDeaths);
    }

    private List<Death> allDeaths() {
        return deaths.newest(deaths.size(), context.nowNanos());
    }

    private void updateMembers(MembersChanged changed) {
        Map<EntryId, Long> liveEntries = new LinkedHashMap<>();
        for (EntryStatus status : changed.entries()) {
            boolean other = !status.entry().equals(context.self().entry());
            if (other && status.state() != EntryStatus.State.DEAD) {
                liveEntries.put(status.entry(), status.incarnation());
            }
        }
        liveEntries.forEach((peer, incarnation) -> {
            boolean sameProcess = incarnation.equals(otherEntries.get(peer));
            if (!sameProcess && deaths.size() > 0) {
                context.send(peer, new Deaths(allDeaths()));
            }
        });
        otherEntries = liveEntries;
        startup.updatePeers(liveEntries.keySet());
    }

    private Optional<ShardNumber> shardOf(PromptFingerprint fingerprint) {
        int count = shards.get().count();
        return count == 0 ? Optional.empty() : Optional.of(Shards.of(fingerprint.value(), count));
    }

    private void sendToOwner(PromptFingerprint fingerprint, QuarantinePeerMessage message) {
        shardOf(fingerprint)
                .flatMap(shard -> shards.get().owner(shard))
                .map(Ownership::owner)
                .ifPresent(owner -> send(owner, message));
    }

    private void send(EntryId to, QuarantinePeerMessage message) {
        if (to.equals(context.self().entry())) {
            context.raise(new PeerReceived(to, message));
        } else {
            context.send(to, message);
        }
    }
}

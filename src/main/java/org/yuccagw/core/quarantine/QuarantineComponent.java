package org.yuccagw.core.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
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
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.ShardNumber;
import org.yuccagw.core.membership.EntryStatus;
import org.yuccagw.core.membership.MembersChanged;
import org.yuccagw.core.quarantine.QuarantinePeerMessage.Death;
import org.yuccagw.core.quarantine.QuarantinePeerMessage.Deaths;
import org.yuccagw.core.quarantine.QuarantinePeerMessage.PermitAsked;
import org.yuccagw.core.quarantine.QuarantinePeerMessage.PermitDecided;
import org.yuccagw.core.quarantine.QuarantinePeerMessage.PermitGivenBack;
import org.yuccagw.core.quarantine.QuarantineRequested.PermitReturned;
import org.yuccagw.core.quarantine.QuarantineRequested.Verdict;
import org.yuccagw.core.shard.ShardAuthority;
import org.yuccagw.core.shard.ShardGained;
import org.yuccagw.core.shard.ShardLost;
import org.yuccagw.core.shard.Shards;
import org.yuccagw.core.shard.ShardsSnapshot;
import org.yuccagw.core.shard.ShardsSnapshot.Ownership;

/**
 * Keeps one prompt from ending endpoint after endpoint, whichever entries its caller sends it to.
 *
 * <p>A prompt without a death runs freely. After one death it runs alone: each attempt needs the one permit that the
 * owner of the prompt's shard gives. After two deaths it is refused by every entry for the quarantine time.
 *
 * <p>A death is pushed to all entries when it is seen, before the caller can have learned of it; each entry also
 * repeats what it knows to one random entry now and then, so a lost push is mended and the knowledge outlives the
 * entry that saw the death. A prompt that shared an endpoint with the one that killed it is counted too: nobody can
 * tell them apart, and running alone then clears the innocent of a second death.
 */
public final class QuarantineComponent implements ControlComponent {
    private static final Duration REPEAT = Duration.ofSeconds(2);
    private static final Duration RENEW = Duration.ofSeconds(2);
    private static final Duration ASK_AGAIN = Duration.ofMillis(250);
    private static final int MOST_ASKS = 8;
    private static final int PERMITS_BITS = 20;
    private static final Duration COME_BACK = Duration.ofSeconds(2);
    private static final int FINGERPRINTS_IN_MESSAGE = 50;

    private final Supplier<ShardsSnapshot> shards;
    private final ShardAuthority authority;
    private final DeathRecords deaths = new DeathRecords();
    private final PermitIssuer issuer = new PermitIssuer();
    private final Map<Long, Waiting> waiting = new HashMap<>();
    private final Map<Long, PromptFingerprint> held = new HashMap<>();
    private List<EntryId> peers = List.of();
    private SystemLimits limits = SystemLimits.defaults();
    private ControlContext context;
    private long nextPermit;

    private record Waiting(QuarantineRequested asked, int asks) {}

    private QuarantineComponent(ShardAuthority authority, Supplier<ShardsSnapshot> shards) {
        this.authority = authority;
        this.shards = shards;
    }

    /**
     * Makes the part.
     *
     * @param authority proves the lease right before a permit is granted
     * @param shards who owns which shard, as far as this entry knows; asked on the control thread
     */
    public static QuarantineComponent of(ShardAuthority authority, Supplier<ShardsSnapshot> shards) {
        return new QuarantineComponent(authority, shards);
    }

    @Override
    public void start(ControlContext startContext) {
        context = startContext;
        // A restarted entry must not take a permit of its former process for its own.
        nextPermit = context.self().incarnation() << PERMITS_BITS;
        context.after(REPEAT, this::repeat);
        context.after(RENEW, this::renew);
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof QuarantineRequested asked) {
            asked(asked);
        } else if (event instanceof EndpointDied died) {
            died(died);
        } else if (event instanceof PermitReturned returned) {
            returned(returned);
        } else if (event instanceof PeerReceived received
                && received.message() instanceof QuarantinePeerMessage message) {
            receive(received.from(), message);
        } else if (event instanceof MembersChanged changed) {
            learnMembers(changed);
        } else if (event instanceof ShardGained gained) {
            issuer.gained(gained.shard(), context.nowNanos());
        } else if (event instanceof ShardLost lost) {
            issuer.lost(lost.shard());
        } else if (event instanceof CatalogueChanged changed) {
            limits = changed.catalogue().system();
        }
    }

    @Override
    public void contribute(ControlSnapshot.Builder snapshot) {
        snapshot.put(QuarantineSnapshot.class, new QuarantineSnapshot(deaths.size(), held.size()));
    }

    private void asked(QuarantineRequested asked) {
        deaths.expire(limits.quarantine(), context.nowNanos());
        int count = deaths.count(asked.fingerprint());
        if (count == 0) {
            reply(asked, new Verdict.Free());
        } else if (count >= DeathRecords.MOST_DEATHS) {
            refuse(asked);
        } else {
            askPermit(nextPermit++, new Waiting(asked, 0));
        }
    }

    private void refuse(QuarantineRequested asked) {
        Duration since = deaths.sinceLast(asked.fingerprint(), context.nowNanos());
        Duration left = limits.quarantine().minus(since);
        int count = deaths.count(asked.fingerprint());
        reply(
                asked,
                new Verdict.Refused(ErrorKind.QUARANTINED
                        .raise(count, Math.max(1, left.toSeconds()))
                        .withRetryAfter(left)));
    }

    private void reply(QuarantineRequested asked, Verdict verdict) {
        context.reply(() -> asked.reply().accept(verdict));
    }

    /** Asks the owner until it grants, or refuses the attempt after the most asks: another run takes long. */
    private void askPermit(long permit, Waiting wait) {
        if (wait.asks() == MOST_ASKS) {
            waiting.remove(permit);
            deliver(wait.asked().fingerprint(), new PermitGivenBack(wait.asked().fingerprint(), permit));
            reply(
                    wait.asked(),
                    new Verdict.Refused(
                            ErrorKind.OVERLOADED.raise(COME_BACK.toMillis()).withRetryAfter(COME_BACK)));
            return;
        }
        waiting.put(permit, new Waiting(wait.asked(), wait.asks() + 1));
        deliver(wait.asked().fingerprint(), new PermitAsked(wait.asked().fingerprint(), permit, false));
        context.after(ASK_AGAIN, () -> {
            Waiting still = waiting.get(permit);
            if (still != null) {
                askPermit(permit, still);
            }
        });
    }

    private void died(EndpointDied died) {
        Death death = new Death(died.fingerprint(), died.endpoint(), died.incarnation(), Duration.ZERO);
        if (deaths.add(death, context.nowNanos())) {
            Deaths message = new Deaths(List.of(death));
            peers.forEach(peer -> context.send(peer, message));
            refuseWaiting(died.fingerprint());
        }
    }

    /** A second death ends the hope of those who wait for the permit at once. */
    private void refuseWaiting(PromptFingerprint fingerprint) {
        if (deaths.count(fingerprint) < DeathRecords.MOST_DEATHS) {
            return;
        }
        List<Long> hopeless = waiting.entrySet().stream()
                .filter(entry -> entry.getValue().asked().fingerprint().equals(fingerprint))
                .map(Map.Entry::getKey)
                .toList();
        hopeless.forEach(permit -> refuse(waiting.remove(permit).asked()));
    }

    private void returned(PermitReturned returned) {
        if (held.remove(returned.permit()) != null) {
            deliver(returned.fingerprint(), new PermitGivenBack(returned.fingerprint(), returned.permit()));
        }
    }

    private void receive(EntryId from, QuarantinePeerMessage message) {
        if (message instanceof Deaths received) {
            for (Death death : received.deaths()) {
                if (deaths.add(death, context.nowNanos())) {
                    refuseWaiting(death.fingerprint());
                }
            }
        } else if (message instanceof PermitAsked asked) {
            decidePermit(from, asked);
        } else if (message instanceof PermitDecided decided) {
            takePermit(decided);
        } else if (message instanceof PermitGivenBack back) {
            issuer.giveBack(back.fingerprint(), from, back.number());
        }
    }

    private void decidePermit(EntryId from, PermitAsked asked) {
        Optional<ShardNumber> shard = shardOf(asked.fingerprint());
        boolean serves = shard.isPresent() && issuer.serves(shard.get());
        boolean holdsLease =
                serves && authority.epochIfHeld(shard.get(), context.nowNanos()).isPresent();
        boolean granted = holdsLease
                && deaths.count(asked.fingerprint()) < DeathRecords.MOST_DEATHS
                && issuer.ask(shard.get(), asked.fingerprint(), from, asked.number(), asked.held(), context.nowNanos());
        send(from, new PermitDecided(asked.fingerprint(), asked.number(), granted));
    }

    private void takePermit(PermitDecided decided) {
        long permit = decided.number();
        Waiting wait = decided.granted() ? waiting.remove(permit) : null;
        if (wait != null) {
            held.put(permit, decided.fingerprint());
            reply(wait.asked(), new Verdict.Alone(permit));
        } else if (decided.granted() && !held.containsKey(permit)) {
            deliver(decided.fingerprint(), new PermitGivenBack(decided.fingerprint(), permit));
        }
    }

    private void renew() {
        held.forEach((permit, fingerprint) -> deliver(fingerprint, new PermitAsked(fingerprint, permit, true)));
        issuer.expire(context.nowNanos());
        context.after(RENEW, this::renew);
    }

    private void repeat() {
        deaths.expire(limits.quarantine(), context.nowNanos());
        if (deaths.size() > 0 && !peers.isEmpty()) {
            EntryId peer = peers.get(context.random().nextInt(peers.size()));
            context.send(peer, knownDeaths());
        }
        context.after(REPEAT, this::repeat);
    }

    private Deaths knownDeaths() {
        return new Deaths(deaths.newest(FINGERPRINTS_IN_MESSAGE, context.nowNanos()));
    }

    private void learnMembers(MembersChanged changed) {
        List<EntryId> living = new ArrayList<>();
        for (EntryStatus status : changed.entries()) {
            boolean other = !status.entry().equals(context.self().entry());
            if (other && status.state() != EntryStatus.State.DEAD) {
                living.add(status.entry());
            }
        }
        if (deaths.size() > 0) {
            living.stream().filter(peer -> !peers.contains(peer)).forEach(peer -> context.send(peer, knownDeaths()));
        }
        peers = List.copyOf(living);
    }

    private Optional<ShardNumber> shardOf(PromptFingerprint fingerprint) {
        int count = shards.get().count();
        return count == 0 ? Optional.empty() : Optional.of(Shards.of(fingerprint.value(), count));
    }

    private void deliver(PromptFingerprint fingerprint, QuarantinePeerMessage message) {
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

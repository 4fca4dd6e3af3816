package org.yuccagw.core.follow;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.ControlSnapshot;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.control.KeyValueRestored;
import org.yuccagw.core.control.PeerReceived;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.lease.Moment;
import org.yuccagw.core.port.KeyValueAnswer;
import org.yuccagw.core.port.KeyValueAnswer.Item;
import org.yuccagw.core.port.KeyValueCall;
import org.yuccagw.core.port.KeyValueRevision;

/**
 * Maintains a copy of the followed keys and raises an event for each changed key, with its decoded record.
 *
 * <p>Changes arrive in two ways. The first is the key-value service: one list call, then one long-polling watch after
 * the other, each from the revision that the previous one reached. The second is the other entries: each reports its
 * revision, and an entry that stays behind for {@link #PEER_REQUEST_DELAY} requests the changes from one that is ahead.
 * An entry whose calls the service rejects thus receives a change about as fast as the others, and an entry can start
 * while the service is unavailable.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>The revision of a key never decreases: a late answer or a slow peer can't undo a newer write or removal.
 *   <li>After a restoration of the service from an older copy, a key keeps its state unless the service holds another
 *       value that its writer didn't write before the known one.
 *   <li>A removal is treated as a lapsed lease, after which the key may be written again, only in the first answer
 *       after an outage; any later removal is reported by a working service.
 *   <li>{@link #revision} is raised only once everything up to it has been received, here or at the peer that reported
 *       it, so a watch may continue from it.
 * </ul>
 *
 * <p>In a large fleet most entries rely on the leads of their failure domain, which watch on their behalf: a lead
 * forwards each change immediately, and each of its heartbeats carries the lead's revision and the time since the
 * service last confirmed it. An entry whose newest confirmation is older than {@link #CONFIRMATION_MAX_AGE} watches
 * itself until a newer one arrives. A lead that fails, is suspended, loses its connections or is rejected by the
 * service therefore delays its followers by no more than that. Messages carry ages instead of times of day; the ages
 * add up over the hops.
 *
 * <p>Watches deliberately wait only for a short time. A connection whose state was lost by a device between the two
 * ends shows no error; a watch that returns without changes proves that the connection still works.
 */
public final class KeyValueFollowComponent implements ControlComponent {
    /**
     * Bounds how long a broken connection without errors can hide a change; the strictest limit on the delay
     * of a change is 2 s.
     */
    static final Duration WATCH_WAIT = Duration.ofMillis(1200);

    /**
     * The wait of a lead's watch, whose followers must receive each confirmation well within {@link
     * #CONFIRMATION_MAX_AGE}.
     */
    static final Duration LEAD_WATCH_WAIT = Duration.ofMillis(600);

    /**
     * The age up to which a confirmation from a lead replaces this entry's own watch. A lead's watch, its heartbeat
     * interval and some delay add up to 1.2 s. The strictest limit on the delay of a change in a large fleet is 3 s,
     * half of which remains for this entry's own watch.
     */
    static final Duration CONFIRMATION_MAX_AGE = Duration.ofMillis(1500);

    /**
     * Fraction of the wait after which a watch without changes confirms the copy. The service answers at the end of the
     * wait, but its clock may run slightly faster than that of this entry.
     */
    private static final double CONFIRMED_WAIT_FRACTION = 0.9;

    /** Delay of the next watch after a change, so that one call covers a burst, whose changes are 80 ms apart. */
    static final Duration COALESCING_DELAY = Duration.ofMillis(80);

    /**
     * Coalescing delay during {@link #STARTUP_PERIOD}. Without it, each registration during the start of a large fleet
     * would cost every other entry a call: 1,200 of the 1,800 calls that 95 entries made until 8 s after the first
     * request.
     */
    private static final Duration STARTUP_COALESCING_DELAY = Duration.ofMillis(400);

    private static final Duration STARTUP_PERIOD = Duration.ofSeconds(4);

    /**
     * How long an entry may be behind the revision of a peer before it requests the changes. Without faults its own
     * watch returns within a few milliseconds of the peer's.
     */
    static final Duration PEER_REQUEST_DELAY = Duration.ofMillis(120);

    /**
     * How long to wait for registrations that lapsed during an outage of the service; they are written again within
     * about 2 s after it.
     */
    public static final Duration REREGISTRATION_GRACE = Duration.ofSeconds(2);

    /** The wait of a watch while the service is unavailable; short, so that its recovery is detected immediately. */
    private static final Duration OUTAGE_WATCH_WAIT = Duration.ofMillis(50);

    private static final Duration MAX_RELIST_DELAY = Duration.ofMillis(400);
    private static final long NO_REVISION = 0;

    private final KeyValueRecordCodec codec;
    private final WatchRole watchRole;
    private final StateInquiry inquiry;
    private final ServiceAvailability service = new ServiceAvailability();
    private final CoverageRecord coverage = new CoverageRecord();
    private final CopyConfirmation confirmation;
    private FollowedKeys keys;
    private ControlContext context;
    private long startedNanos;
    private long revision = NO_REVISION;
    private long confirmedNanos;
    private boolean everConfirmed;
    /** The time until which this entry's own calls show that the copy includes all writes. */
    private Optional<Moment> ownConfirmation = Optional.empty();

    private long leadConfirmedNanos;
    private boolean everLeadConfirmed;
    private FollowSnapshot.Activity activity = FollowSnapshot.Activity.LIST;
    private boolean goneSinceLastWatch;
    private boolean peerRequestPending;

    private KeyValueFollowComponent(KeyValueRecordCodec codec, WatchRole watchRole, OtherEntries others) {
        this.codec = codec;
        this.watchRole = watchRole;
        this.confirmation = CopyConfirmation.of(codec.followedPrefix());
        this.inquiry =
                StateInquiry.of(others, this::revision, allResponded -> context.raise(new Started(allResponded)));
    }

    /** Creates a component with an empty copy. */
    public static KeyValueFollowComponent of(KeyValueRecordCodec codec, WatchRole watchRole, OtherEntries others) {
        return new KeyValueFollowComponent(codec, watchRole, others);
    }

    /**
     * Raised once, when the copy also includes what other entries know better, or these didn't answer in time.
     *
     * @param allResponded whether each other entry that is known has responded, and so knows the present era
     */
    public record Started(boolean allResponded) implements ControlEvent {}

    /** Raised when another entry reported its revision. */
    public record PeerRevisionReported(EntryId entry, long revision) implements ControlEvent {}

    /**
     * Raised when a lead reported its revision and the age of its last confirmation.
     *
     * @param asOfNanos time of the confirmation, in this entry's monotonic time
     */
    public record LeadConfirmationReported(long revision, long asOfNanos) implements ControlEvent {}

    @Override
    public void start(ControlContext startContext) {
        context = startContext;
        startedNanos = context.nowNanos();
        keys = FollowedKeys.of(codec, context);
        service.start(context);
        inquiry.start(context);
        confirmation.start(context);
        list();
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof PeerRevisionReported reported) {
            schedulePeerRequest(reported);
        } else if (event instanceof LeadConfirmationReported confirmed) {
            onLeadConfirmation(confirmed.revision(), confirmed.asOfNanos());
        } else if (event instanceof PeerReceived received && received.message() instanceof FollowMessage message) {
            receive(received.from(), message);
        }
    }

    @Override
    public void contribute(ControlSnapshot.Builder snapshot) {
        snapshot.put(FollowSnapshot.class, new FollowSnapshot(revision, confirmedNanos, everConfirmed, activity));
    }

    /** Returns whether the copy has been confirmed and the last call to the key-value service didn't fail. */
    public boolean isReachable() {
        return everConfirmed && !service.isUnavailable();
    }

    /** Asks the service whether the copy is complete, whatever was received until now. Raises {@link CopyConfirmed}. */
    public void confirmCopy() {
        confirmation.request(new CopyConfirmation.Copy() {
            @Override
            public long revision() {
                return revision;
            }

            @Override
            public void include(KeyValueAnswer.Found changes, Moment sent) {
                includeChanges(changes, sent);
            }
        });
    }

    /** Returns the highest revision that the copy includes. */
    public long revision() {
        return revision;
    }

    /** Returns the monotonic time of the last confirmation of the copy; empty if it has never been confirmed. */
    public OptionalLong confirmedNanos() {
        return everConfirmed ? OptionalLong.of(confirmedNanos) : OptionalLong.empty();
    }

    // ---- Key-value service

    private void list() {
        activity = FollowSnapshot.Activity.LIST;
        Moment sent = Moment.now(context);
        context.call(new KeyValueCall.ReadPrefix(codec.followedPrefix()), answer -> {
            if (answer instanceof KeyValueAnswer.Found found) {
                service.recordAnswer(confirmedNanos());
                boolean restored = noticeRestoration(found.revision());
                boolean lapsesPossible = service.takeLapsesPossible();
                applyList(found.items(), found.revision(), lapsesIn(found, restored || lapsesPossible));
                confirmOwn(sent);
                watchOrRely();
            } else {
                service.recordFailure("list", answer);
                pause(service.nextRetryDelay(), this::list);
            }
        });
    }

    /** Starts the next watch, or postpones it while the newest confirmation from a lead is recent enough. */
    private void watchOrRely() {
        if (isConfirmedByLeads()) {
            activity = FollowSnapshot.Activity.LEAD;
            long remainingNanos = leadConfirmedNanos + CONFIRMATION_MAX_AGE.toNanos() - context.nowNanos();
            context.after(Duration.ofNanos(remainingNanos), this::watchOrRely);
        } else {
            watch();
        }
    }

    private boolean isConfirmedByLeads() {
        return watchRole.reliesOnLeads()
                && everLeadConfirmed
                && context.nowNanos() - leadConfirmedNanos < CONFIRMATION_MAX_AGE.toNanos();
    }

    private void watch() {
        activity = FollowSnapshot.Activity.WATCH;
        Moment sent = Moment.now(context);
        Duration wait = watchWait();
        context.call(new KeyValueCall.Watch(codec.followedPrefix(), revision, wait), answer -> {
            if (answer instanceof KeyValueAnswer.Found found) {
                onWatchAnswer(found, sent, wait);
            } else if (answer instanceof KeyValueAnswer.HistoryGone) {
                onHistoryGone();
            } else {
                service.recordFailure("watch", answer);
                pause(service.nextRetryDelay(), this::watchOrRely);
            }
        });
    }

    private void pause(Duration delay, Runnable next) {
        activity = FollowSnapshot.Activity.PAUSE;
        context.after(delay, next);
    }

    /**
     * Lists the keys again, after a random delay: the service discards its history for all entries at once. An entry to
     * which another one has sent all keys of the present era meanwhile needs no list.
     */
    private void onHistoryGone() {
        context.perform(Decision.of("history-gone")
                .with("era", KeyValueRevision.era(revision))
                .with("revision", KeyValueRevision.number(revision)));
        long staleRevision = revision;
        Duration delay = Duration.ofMillis(context.random().nextLong(MAX_RELIST_DELAY.toMillis()));
        pause(goneSinceLastWatch ? delay.plus(MAX_RELIST_DELAY) : delay, () -> {
            if (KeyValueRevision.isOfEarlierEra(staleRevision, revision)) {
                watchOrRely();
            } else {
                list();
            }
        });
        goneSinceLastWatch = true;
    }

    /**
     * Reports whether the service has been restored from an older copy since the keys here were received, and announces
     * it to the other components.
     */
    private boolean noticeRestoration(long newRevision) {
        if (revision == NO_REVISION || !KeyValueRevision.isOfEarlierEra(revision, newRevision)) {
            return false;
        }
        coverage.recordRestoration(revision, context.nowNanos());
        context.perform(Decision.of("key-value-service-restored")
                .with("era", KeyValueRevision.era(newRevision))
                .with("revision", KeyValueRevision.number(newRevision))
                .with("before_era", KeyValueRevision.era(revision))
                .with("before_revision", KeyValueRevision.number(revision)));
        context.raise(new KeyValueRestored(KeyValueRevision.era(newRevision)));
        inquireLater();
        return true;
    }

    /** Asks the other entries after a random delay, since all of them notice a restoration at once. */
    private void inquireLater() {
        if (inquiry.isStarted()) {
            context.after(Duration.ofMillis(context.random().nextLong(MAX_RELIST_DELAY.toMillis())), inquiry::begin);
        }
    }

    /** Returns the delay of the next watch; not extended before the first configuration, which serving requires. */
    private Duration coalescingDelay() {
        boolean starting = context.nowNanos() - startedNanos < STARTUP_PERIOD.toNanos() && watchRole.isServing();
        return starting ? STARTUP_COALESCING_DELAY : COALESCING_DELAY;
    }

    private Duration watchWait() {
        if (service.isUnavailable()) {
            return OUTAGE_WATCH_WAIT;
        }
        return watchRole.hasFollowers() ? LEAD_WATCH_WAIT : WATCH_WAIT;
    }

    private void onWatchAnswer(KeyValueAnswer.Found found, Moment sent, Duration wait) {
        goneSinceLastWatch = false;
        includeChanges(found, sent);
        if (found.items().isEmpty()) {
            boolean fullWait = context.nowNanos() - sent.nanos() >= wait.toNanos();
            Duration waited = Duration.ofNanos((long) (wait.toNanos() * CONFIRMED_WAIT_FRACTION));
            confirmOwn(fullWait ? sent.plus(waited) : sent);
            watchOrRely();
        } else {
            pause(coalescingDelay(), this::watchOrRely);
        }
    }

    private void includeChanges(KeyValueAnswer.Found found, Moment sent) {
        service.recordAnswer(confirmedNanos());
        long previousRevision = revision;
        applyItems(found.items(), found.revision(), lapsesIn(found, service.takeLapsesPossible()));
        confirmOwn(sent);
        if (!found.items().isEmpty()) {
            watchRole.sendToFollowers(
                    changesMessage(false, previousRevision, ImmutableList.copyOf(found.items()), Optional.empty()));
        }
    }

    /** Returns the revision up to which removals in an answer may be lapses, and records it for other entries. */
    private long lapsesIn(KeyValueAnswer.Found found, boolean possible) {
        if (!possible) {
            return KeyValueRevision.NONE;
        }
        service.recordLapses(found.revision());
        return found.revision();
    }

    private void confirmOwn(Moment asOf) {
        confirm(asOf.nanos());
        if (ownConfirmation.isEmpty() || ownConfirmation.get().isBefore(asOf)) {
            ownConfirmation = Optional.of(asOf);
        }
    }

    private void confirm(long asOfNanos) {
        if (!everConfirmed || asOfNanos - confirmedNanos > 0) {
            confirmedNanos = asOfNanos;
        }
        everConfirmed = true;
    }

    // ---- Other entries

    private void schedulePeerRequest(PeerRevisionReported reported) {
        if (reported.revision() <= revision || peerRequestPending) {
            return;
        }
        peerRequestPending = true;
        context.after(PEER_REQUEST_DELAY, () -> {
            peerRequestPending = false;
            if (reported.revision() > revision) {
                context.perform(Decision.of("peer-asked")
                        .with("peer", reported.entry())
                        .with("own_revision", revision)
                        .with("peer_revision", reported.revision()));
                context.send(reported.entry(), new FollowMessage.ChangesRequest(revision));
            }
        });
    }

    private void receive(EntryId from, FollowMessage message) {
        if (message instanceof FollowMessage.ChangesRequest request) {
            onRequest(from, request);
        } else if (message instanceof FollowMessage.Changes changes) {
            applyChanges(from, changes);
        } else if (message instanceof FollowMessage.StillStarting) {
            inquiry.recordStarting(from);
        }
    }

    /**
     * Answers a request, unless this entry may itself lack what the others know. An entry that is asked from a later
     * era than its own first asks for the changes since; the other one will ask again.
     */
    private void onRequest(EntryId from, FollowMessage.ChangesRequest request) {
        if (KeyValueRevision.isOfEarlierEra(revision, request.afterRevision())) {
            context.send(from, new FollowMessage.ChangesRequest(revision));
        } else if (everConfirmed && (inquiry.isStarted() || isOutdated(request))) {
            context.send(from, answerTo(request));
            if (KeyValueRevision.isOfEarlierEra(request.afterRevision(), revision)) {
                inquiry.askAgain(from);
            }
        } else {
            context.send(from, new FollowMessage.StillStarting());
        }
    }

    private boolean isOutdated(FollowMessage.ChangesRequest request) {
        return request.afterRevision() == NO_REVISION
                || KeyValueRevision.isOfEarlierEra(request.afterRevision(), revision);
    }

    /**
     * Applies changes received from another entry. The items always apply, but they raise this entry's revision to that
     * of the sender only if no changes in between are missing, as after the loss of a message.
     */
    private void applyChanges(EntryId from, FollowMessage.Changes changes) {
        if (KeyValueRevision.isOfEarlierEra(changes.revision(), revision)) {
            return;
        }
        service.recordLapses(changes.lapsesUpToRevision());
        if (changes.whole()) {
            noticeRestoration(changes.revision());
            applyList(changes.items(), changes.revision(), changes.lapsesUpToRevision());
        } else {
            if (KeyValueRevision.isOfEarlierEra(revision, changes.revision())) {
                context.send(from, new FollowMessage.ChangesRequest(revision));
                return;
            }
            keys.apply(changes.items(), arrival(changes.lapsesUpToRevision(), changes.revision()));
            if (changes.afterRevision() > revision) {
                context.send(from, new FollowMessage.ChangesRequest(revision));
                return;
            }
            advanceTo(changes.revision());
        }
        changes.coverage().ifPresent(covered -> {
            coverage.inherit(covered, context.nowNanos());
            inquiry.recordAnswer(from, covered);
        });
        onLeadConfirmation(
                changes.revision(),
                context.nowNanos()
                        - Duration.ofMillis(changes.confirmedAgeMillis()).toNanos());
    }

    private void onLeadConfirmation(long confirmedRevision, long asOfNanos) {
        if (confirmedRevision > revision || KeyValueRevision.isOfEarlierEra(confirmedRevision, revision)) {
            return;
        }
        confirm(asOfNanos);
        if (!everLeadConfirmed || asOfNanos - leadConfirmedNanos > 0) {
            leadConfirmedNanos = asOfNanos;
            everLeadConfirmed = true;
        }
    }

    private FollowMessage.Changes answerTo(FollowMessage.ChangesRequest request) {
        boolean whole = isOutdated(request) || !keys.retainRemovalsAfter(request.afterRevision());
        ImmutableList<Item> items =
                whole ? keys.all() : keys.changedAfterAndRetained(request.afterRevision(), revision);
        return changesMessage(
                whole, request.afterRevision(), items, Optional.of(coverage.coverage(revision, context.nowNanos())));
    }

    private FollowMessage.Changes changesMessage(
            boolean whole, long afterRevision, ImmutableList<Item> items, Optional<CopyCoverage> covered) {
        long ageMillis = (context.nowNanos() - confirmedNanos) / 1_000_000;
        long lapsesUpTo = service.lapsesUpToRevision(REREGISTRATION_GRACE);
        return new FollowMessage.Changes(whole, afterRevision, revision, ageMillis, lapsesUpTo, items, covered);
    }

    // ---- Applying changes

    private void applyList(List<Item> items, long listRevision, long lapsesUpToRevision) {
        boolean first = revision == NO_REVISION;
        keys.applyList(items, listRevision, arrival(lapsesUpToRevision, listRevision));
        advanceTo(listRevision);
        if (first) {
            coverage.recordFirstCopy(context.nowNanos());
            inquiry.begin();
        } else {
            context.raise(new CopyReplaced());
        }
    }

    private void applyItems(List<Item> items, long newRevision, long lapsesUpToRevision) {
        keys.apply(items, arrival(lapsesUpToRevision, newRevision));
        advanceTo(newRevision);
    }

    private void advanceTo(long newRevision) {
        revision = Math.max(revision, newRevision);
        keys.deleteOldRemovals();
    }

    private FollowedKeys.Arrival arrival(long lapsesUpToRevision, long presentRevision) {
        boolean afterOutage = lapsesUpToRevision != KeyValueRevision.NONE;
        OptionalLong unseenSince =
                afterOutage && everConfirmed ? OptionalLong.of(confirmedNanos) : OptionalLong.empty();
        return new FollowedKeys.Arrival(
                !everConfirmed, lapsesUpToRevision, unseenSince, ownConfirmation, presentRevision);
    }
}

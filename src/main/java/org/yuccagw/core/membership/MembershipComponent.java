package org.yuccagw.core.membership;

import com.google.common.collect.Comparators;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Lists;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.yuccagw.core.catalogue.CatalogueChanged;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.ControlSnapshot;
import org.yuccagw.core.control.EntryIdentity;
import org.yuccagw.core.control.PeerReceived;
import org.yuccagw.core.endpoint.PlatformListed;
import org.yuccagw.core.endpoint.PlatformListed.ListedVm;
import org.yuccagw.core.endpoint.PlatformListed.VmKind;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.membership.EntryStatus.State;
import org.yuccagw.core.membership.MemberRecord.Contact;

/**
 * Maintains the membership of entries by gossip, following the SWIM protocol, and the directory derived from it.
 *
 * <p>Once per {@link #PROBE_PERIOD} one other entry is probed, in a shuffled order that covers all entries. If a probe
 * isn't answered in time, {@link #INDIRECT_PROBERS} other entries probe the target on behalf of this one, so that a
 * broken path between just two entries makes neither of them suspect. If no answer arrives by the end of the period,
 * the target becomes suspect. The suspicion is disseminated to all entries including the target, which refutes it by a
 * record of a higher version. If the suspicion isn't refuted in time, the target is declared dead.
 *
 * <p>Traffic: per period an entry sends one probe and as many answers as it receives probes, on average one. Each
 * message carries at most a fixed number of records, so the traffic of an entry doesn't grow with the number of
 * entries; only the time that a change takes to reach all entries grows, and slowly. Whole tables are exchanged at an
 * interval that grows with the size of the table.
 *
 * <p>Example of a restart: {@code entry-2} starts again with a higher incarnation. Its probes carry the new record,
 * which supersedes all records of the old incarnation, including one that declares it dead.
 */
public final class MembershipComponent implements ControlComponent {
    static final Duration PROBE_PERIOD = Duration.ofSeconds(1);
    static final int INDIRECT_PROBERS = 3;

    private static final Duration DIRECT_ANSWER_TIMEOUT = Duration.ofMillis(400);
    private static final Duration MIN_SUSPICION_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration SUSPICION_TIMEOUT_PER_DOUBLING = Duration.ofSeconds(1);
    private static final Duration DEAD_RETENTION = Duration.ofMinutes(10);
    private static final Duration TABLE_EXCHANGE_INTERVAL_PER_ENTRY = Duration.ofMillis(400);
    private static final Duration MIN_TABLE_EXCHANGE_INTERVAL = Duration.ofSeconds(5);
    private static final int RECORDS_PER_TABLE_MESSAGE = 6;
    private static final int MAX_QUEUED_TABLES = 4;
    /** How many entries this one notifies directly when it leaves; gossip reaches the others. */
    private static final int MAX_LEAVE_NOTICES = 8;

    private final Readiness readiness;
    private final Map<Long, Probe> probes = new HashMap<>();
    private final ArrayDeque<EntryId> probeOrder = new ArrayDeque<>();
    private final Map<EntryId, ControlContext.Timer> suspicionTimers = new HashMap<>();

    private final ArrayDeque<TableTransfer> queuedTables = new ArrayDeque<>();

    private MemberTable table;
    private ControlContext context;
    private ImmutableList<EntryStatus> statuses = ImmutableList.of();
    private PeerAddresses addresses;
    private long nextSequence = 1;
    private int load;
    private int publishedLoad;
    private long catalogueRevision;
    private long publishedRevision;
    private boolean leaving;
    private boolean tableChanged = true;
    private boolean tableRequested;
    private String reason = "";

    private MembershipComponent(Readiness readiness) {
        this.readiness = readiness;
    }

    public static MembershipComponent of(Readiness readiness) {
        return new MembershipComponent(readiness);
    }

    /** A probe in flight: the entry on whose behalf it was sent, if any, and whether it has been answered. */
    private static final class Probe {
        private final EntryId target;
        private final Optional<EntryId> onBehalfOf;
        private final long originalSequence;
        private boolean answered;

        private Probe(EntryId target, Optional<EntryId> onBehalfOf, long originalSequence) {
            this.target = target;
            this.onBehalfOf = onBehalfOf;
            this.originalSequence = originalSequence;
        }
    }

    /** A transfer of the table to one entry, with the records that the table held when the entry requested it. */
    private static final class TableTransfer {
        private final EntryId receiver;
        private final List<List<MemberRecord>> chunks;
        private int nextChunk;

        private TableTransfer(EntryId receiver, List<List<MemberRecord>> chunks) {
            this.receiver = receiver;
            this.chunks = chunks;
        }
    }

    @Override
    public void start(ControlContext startContext) {
        context = startContext;
        EntryIdentity self = context.self();
        Contact contact = new Contact(
                self.domain(), self.callerAddress(), self.peerAddress(), self.adminAddress(), self.relayAddress());
        table = new MemberTable(
                new MemberRecord(self.entry(), self.incarnation(), 1, State.ALIVE, 0, 0, Optional.of(contact)));
        reason = readiness.reasonNotReady(context.nowNanos()).orElse("");
        context.after(randomDelayUpTo(PROBE_PERIOD), this::startPeriod);
        context.after(randomDelayUpTo(MIN_TABLE_EXCHANGE_INTERVAL), this::exchangeTable);
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof PeerReceived received && received.message() instanceof Gossip gossip) {
            receive(received.from(), gossip);
        } else if (event instanceof PlatformListed list) {
            replaceListed(list);
        } else if (event instanceof CatalogueChanged changed) {
            catalogueRevision = changed.catalogue().revision();
            publishOwnRecord();
        } else if (event instanceof OwnLoadReported reported) {
            load = reported.runningRequests();
        } else if (event instanceof StopRequested) {
            leave();
        }
    }

    @Override
    public void contribute(ControlSnapshot.Builder snapshot) {
        if (tableChanged) {
            statuses = table.statuses();
            addresses = table.addresses();
            tableChanged = false;
        }
        reason = leaving
                ? "is stopping"
                : readiness.reasonNotReady(context.nowNanos()).orElse("");
        snapshot.put(
                DirectorySnapshot.class,
                new DirectorySnapshot(statuses, reason.isEmpty(), reason, Readiness.DIRECTORY_TIME_TO_LIVE));
        snapshot.put(PeerAddresses.class, addresses);
    }

    // ---- Probes

    private void startPeriod() {
        context.after(PROBE_PERIOD, this::startPeriod);
        publishOwnRecord();
        table.removeDeadBefore(context.nowNanos() - DEAD_RETENTION.toNanos());
        sendChunk();
        nextTarget().ifPresent(this::probe);
        probeUnreachedEntry();
    }

    private Optional<EntryId> nextTarget() {
        while (true) {
            EntryId next = probeOrder.poll();
            if (next == null) {
                List<EntryId> others = new ArrayList<>(table.others());
                if (others.isEmpty()) {
                    return Optional.empty();
                }
                shuffle(others);
                probeOrder.addAll(others);
            } else if (isNotDead(next)) {
                return Optional.of(next);
            }
        }
    }

    /**
     * Probes a random entry that is listed but unknown to gossip or dead. This discovers new entries, and rejoins
     * both sides of a network partition after each declared the other dead.
     */
    private void probeUnreachedEntry() {
        List<EntryId> unreached = table.listedButUnreached();
        if (!unreached.isEmpty()) {
            send(unreached.get(context.random().nextInt(unreached.size())), Gossip.Kind.PROBE, 0, Optional.empty());
        }
    }

    private void probe(EntryId target) {
        long sequence = nextSequence++;
        Probe probe = new Probe(target, Optional.empty(), 0);
        probes.put(sequence, probe);
        send(target, Gossip.Kind.PROBE, sequence, Optional.empty());
        context.after(DIRECT_ANSWER_TIMEOUT, () -> {
            if (!probe.answered) {
                requestIndirectProbes(target, sequence);
            }
        });
        context.after(PROBE_PERIOD, () -> {
            probes.remove(sequence);
            if (!probe.answered) {
                suspect(target);
            }
        });
    }

    private void requestIndirectProbes(EntryId target, long sequence) {
        List<EntryId> probers = new ArrayList<>(table.others());
        probers.remove(target);
        shuffle(probers);
        for (EntryId prober : probers.subList(0, Math.min(INDIRECT_PROBERS, probers.size()))) {
            send(prober, Gossip.Kind.INDIRECT_PROBE, sequence, Optional.of(target));
        }
    }

    private void probeOnBehalfOf(EntryId origin, long originalSequence, EntryId target) {
        long sequence = nextSequence++;
        probes.put(sequence, new Probe(target, Optional.of(origin), originalSequence));
        send(target, Gossip.Kind.PROBE, sequence, Optional.empty());
        context.after(PROBE_PERIOD, () -> probes.remove(sequence));
    }

    private void receive(EntryId from, Gossip gossip) {
        gossip.members().forEach(this::mergeRecord);
        switch (gossip.kind()) {
            case PROBE -> send(from, Gossip.Kind.ANSWER, gossip.sequence(), Optional.empty());
            case ANSWER -> onAnswer(from, gossip.sequence());
            case INDIRECT_PROBE ->
                gossip.target().ifPresent(target -> probeOnBehalfOf(from, gossip.sequence(), target));
            case INDIRECT_ANSWER -> markAnswered(gossip.sequence());
            case ASK_TABLE -> queueTable(from);
            default -> tableRequested = true;
        }
        if (!tableRequested) {
            tableRequested = true;
            send(from, Gossip.Kind.ASK_TABLE, 0, Optional.empty());
        }
    }

    private void onAnswer(EntryId from, long sequence) {
        Probe probe = probes.get(sequence);
        if (probe == null || !probe.target.equals(from)) {
            return;
        }
        probe.answered = true;
        probe.onBehalfOf.ifPresent(
                origin -> send(origin, Gossip.Kind.INDIRECT_ANSWER, probe.originalSequence, Optional.of(from)));
    }

    private void markAnswered(long sequence) {
        Probe probe = probes.get(sequence);
        if (probe != null) {
            probe.answered = true;
        }
    }

    // ---- Suspicions

    private void suspect(EntryId target) {
        MemberRecord known = table.find(target).orElse(null);
        if (known == null) {
            return;
        }
        if (known.state() == State.ALIVE) {
            mergeRecord(known.withState(State.SUSPECT));
        } else if (known.state() == State.LEAVING) {
            mergeRecord(known.withState(State.DEAD));
        }
    }

    private void startSuspicionTimer(MemberRecord suspected) {
        int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(table.size());
        Duration scaled = SUSPICION_TIMEOUT_PER_DOUBLING.multipliedBy(doublings);
        Duration timeout = Comparators.max(scaled, MIN_SUSPICION_TIMEOUT);
        cancelSuspicionTimer(suspected.entry());
        suspicionTimers.put(suspected.entry(), context.after(timeout, () -> {
            MemberRecord known = table.find(suspected.entry()).orElse(null);
            if (known != null && known.state() == State.SUSPECT) {
                mergeRecord(known.withState(State.DEAD));
            }
        }));
    }

    private void cancelSuspicionTimer(EntryId entry) {
        ControlContext.Timer timer = suspicionTimers.remove(entry);
        if (timer != null) {
            timer.cancel();
        }
    }

    private void mergeRecord(MemberRecord received) {
        if (received.entry().equals(context.self().entry())) {
            refuteIfContradicted(received);
            return;
        }
        MemberTable.MergeResult result = table.merge(received, context.nowNanos());
        if (result == MemberTable.MergeResult.UNCHANGED) {
            return;
        }
        tableChanged = true;
        if (received.catalogueRevision() > catalogueRevision && received.state() != State.DEAD) {
            context.raise(new RevisionReported(received.entry(), received.catalogueRevision()));
        }
        if (result == MemberTable.MergeResult.STATE_CHANGED) {
            if (received.state() == State.SUSPECT) {
                startSuspicionTimer(received);
            } else {
                cancelSuspicionTimer(received.entry());
            }
            raiseChanged();
        }
    }

    /**
     * Refutes a record that contradicts this entry's own state.
     *
     * <p>Guards against being declared dead while alive, as after a suspension of the process or a network partition:
     * the entry would be missing from the directory although it serves. A record of a higher version supersedes a
     * suspect or dead state of a lower version.
     */
    private void refuteIfContradicted(MemberRecord received) {
        MemberRecord own = table.own();
        boolean contradicts = received.state() != own.state() && received.state() != State.ALIVE;
        if (received.incarnation() == own.incarnation() && received.version() >= own.version() && contradicts) {
            table.refute(received.version());
            tableChanged = true;
        }
    }

    // ---- This entry's own record

    private void publishOwnRecord() {
        boolean changed = load != publishedLoad || catalogueRevision != publishedRevision;
        if (changed) {
            publishedLoad = load;
            publishedRevision = catalogueRevision;
            table.replaceOwn(leaving ? State.LEAVING : State.ALIVE, load, catalogueRevision);
            tableChanged = true;
        }
    }

    private void leave() {
        if (leaving) {
            return;
        }
        leaving = true;
        table.replaceOwn(State.LEAVING, load, catalogueRevision);
        tableChanged = true;
        raiseChanged();
        List<EntryId> others = new ArrayList<>(table.others());
        shuffle(others);
        for (EntryId other : others.subList(0, Math.min(MAX_LEAVE_NOTICES, others.size()))) {
            send(other, Gossip.Kind.PROBE, 0, Optional.empty());
        }
    }

    // ---- Listed entries and the exchange of whole tables

    private void replaceListed(PlatformListed list) {
        Map<EntryId, NetworkAddress> entries = new TreeMap<>();
        for (ListedVm vm : list.vms()) {
            if (vm.kind() == VmKind.ENTRY && !vm.leaving()) {
                entries.put(EntryId.of(vm.name()), vm.address());
            }
        }
        table.replaceListed(entries);
        tableChanged = true;
    }

    private void exchangeTable() {
        Duration scaled = TABLE_EXCHANGE_INTERVAL_PER_ENTRY.multipliedBy(table.size());
        context.after(Comparators.max(scaled, MIN_TABLE_EXCHANGE_INTERVAL), this::exchangeTable);
        List<EntryId> others = table.others();
        if (!others.isEmpty()) {
            EntryId partner = others.get(context.random().nextInt(others.size()));
            send(partner, Gossip.Kind.ASK_TABLE, 0, Optional.empty());
        }
    }

    private void queueTable(EntryId receiver) {
        boolean queued = queuedTables.stream().anyMatch(transfer -> transfer.receiver.equals(receiver));
        if (queued || queuedTables.size() == MAX_QUEUED_TABLES) {
            return;
        }
        boolean idle = queuedTables.isEmpty();
        queuedTables.add(
                new TableTransfer(receiver, List.copyOf(Lists.partition(table.all(), RECORDS_PER_TABLE_MESSAGE))));
        if (idle) {
            sendChunk();
        }
    }

    /**
     * Sends the next chunk of the oldest queued table. Only one chunk is sent per period in total: a whole table at
     * once would exceed the byte budget of many seconds.
     */
    private void sendChunk() {
        TableTransfer transfer = queuedTables.peek();
        if (transfer == null) {
            return;
        }
        List<MemberRecord> chunk = transfer.chunks.get(transfer.nextChunk++);
        context.send(
                transfer.receiver, new Gossip(Gossip.Kind.TABLE, 0, Optional.empty(), ImmutableList.copyOf(chunk)));
        if (transfer.nextChunk == transfer.chunks.size()) {
            queuedTables.poll();
        }
    }

    // ---- Utilities

    private void send(EntryId to, Gossip.Kind kind, long sequence, Optional<EntryId> target) {
        context.send(to, new Gossip(kind, sequence, target, table.recordsForMessage(to)));
    }

    private void raiseChanged() {
        context.raise(new MembersChanged(table.statuses()));
    }

    private boolean isNotDead(EntryId entry) {
        return table.find(entry).map(known -> known.state() != State.DEAD).orElse(false);
    }

    private Duration randomDelayUpTo(Duration limit) {
        return Duration.ofNanos((long) (context.random().nextDouble() * limit.toNanos()));
    }

    private void shuffle(List<EntryId> entries) {
        for (int last = entries.size() - 1; last > 0; last--) {
            Collections.swap(entries, last, context.random().nextInt(last + 1));
        }
    }
}

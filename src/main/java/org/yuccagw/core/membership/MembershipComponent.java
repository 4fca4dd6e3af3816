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
 * Membership of entries by gossip, in the manner of SWIM, and the directory that follows it.
 *
 * <p>Once a {@link #PERIOD} one other entry is probed, in a shuffled order that reaches everyone. A probe that isn't
 * answered in time is repeated through {@link #HELPERS} others, so that a cut between two entries alone condemns
 * neither. Without any answer by the end of the period the entry is suspected; all hear it, the suspected one too, who
 * refutes by a record of a higher version. A suspicion that nobody refuted in time makes the entry dead.
 *
 * <p>Bytes: a node sends one probe a period and as many answers as it gets probes, one on the average. Each message
 * carries at most a fixed number of records, so what a node sends doesn't grow with the number of entries; what grows,
 * slowly, is the time that a change takes to reach all. Tables are exchanged in an interval that grows with the table.
 *
 * <p>Example of a restart: {@code entry-2} comes back with a higher incarnation. Its probes carry the new record, which
 * wins over everything said of the old one, a death included.
 */
public final class MembershipComponent implements ControlComponent {
    static final Duration PERIOD = Duration.ofSeconds(1);
    static final int HELPERS = 3;

    private static final Duration DIRECT_ANSWER = Duration.ofMillis(400);
    private static final Duration SHORTEST_SUSPICION = Duration.ofSeconds(3);
    private static final Duration SUSPICION_PER_DOUBLING = Duration.ofSeconds(1);
    private static final Duration DEAD_KEPT = Duration.ofMinutes(10);
    private static final Duration TABLE_EXCHANGE_PER_ENTRY = Duration.ofMillis(400);
    private static final Duration SHORTEST_TABLE_EXCHANGE = Duration.ofSeconds(5);
    private static final int RECORDS_PER_TABLE_MESSAGE = 6;
    private static final int TABLES_WAITING = 4;
    private static final int FAREWELLS = 8;

    private final Readiness readiness;
    private final Map<Long, Probe> probes = new HashMap<>();
    private final ArrayDeque<EntryId> order = new ArrayDeque<>();
    private final Map<EntryId, ControlContext.Timer> suspicions = new HashMap<>();

    private final ArrayDeque<TableSending> tablesToSend = new ArrayDeque<>();

    private MemberTable table;
    private ControlContext context;
    private ImmutableList<EntryStatus> statuses = ImmutableList.of();
    private PeerAddresses addresses;
    private long nextSequence = 1;
    private int load;
    private int toldLoad;
    private long catalogueRevision;
    private long toldRevision;
    private boolean leaving;
    private boolean tableDirty = true;
    private boolean tableAsked;
    private String reason = "";

    private MembershipComponent(Readiness readiness) {
        this.readiness = readiness;
    }

    public static MembershipComponent of(Readiness readiness) {
        return new MembershipComponent(readiness);
    }

    /** One probe under way: who began it and whether an answer came. */
    private static final class Probe {
        private final EntryId target;
        private final Optional<EntryId> askedBy;
        private final long askedSequence;
        private boolean answered;

        private Probe(EntryId target, Optional<EntryId> askedBy, long askedSequence) {
            this.target = target;
            this.askedBy = askedBy;
            this.askedSequence = askedSequence;
        }
    }

    /** A table on its way to one entry, as it was when the entry asked. */
    private static final class TableSending {
        private final EntryId to;
        private final List<List<MemberRecord>> chunks;
        private int next;

        private TableSending(EntryId to, List<List<MemberRecord>> chunks) {
            this.to = to;
            this.chunks = chunks;
        }
    }

    @Override
    public void start(ControlContext startContext) {
        context = startContext;
        EntryIdentity self = context.self();
        Contact contact = new Contact(self.domain(), self.callerAddress(), self.peerAddress(), self.adminAddress());
        table = new MemberTable(
                new MemberRecord(self.entry(), self.incarnation(), 1, State.ALIVE, 0, 0, Optional.of(contact)));
        reason = readiness.reasonAgainst(context.nowNanos()).orElse("");
        context.after(randomPartOf(PERIOD), this::beginPeriod);
        context.after(randomPartOf(SHORTEST_TABLE_EXCHANGE), this::exchangeTable);
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof PeerReceived received && received.message() instanceof Gossip gossip) {
            receive(received.from(), gossip);
        } else if (event instanceof PlatformListed list) {
            takeList(list);
        } else if (event instanceof CatalogueChanged changed) {
            catalogueRevision = changed.catalogue().revision();
            tellOwnNews();
        } else if (event instanceof OwnLoadReported reported) {
            load = reported.runningRequests();
        } else if (event instanceof StopRequested) {
            leave();
        }
    }

    @Override
    public void contribute(ControlSnapshot.Builder snapshot) {
        if (tableDirty) {
            statuses = table.statuses();
            addresses = table.addresses();
            tableDirty = false;
        }
        reason = leaving
                ? "is stopping"
                : readiness.reasonAgainst(context.nowNanos()).orElse("");
        snapshot.put(
                DirectorySnapshot.class,
                new DirectorySnapshot(statuses, reason.isEmpty(), reason, Readiness.DIRECTORY_TIME_TO_LIVE));
        snapshot.put(PeerAddresses.class, addresses);
    }

    // ---- Probing.

    private void beginPeriod() {
        context.after(PERIOD, this::beginPeriod);
        tellOwnNews();
        table.forgetDeadBefore(context.nowNanos() - DEAD_KEPT.toNanos());
        sendChunk();
        nextTarget().ifPresent(this::probe);
        probeSomeoneUnheard();
    }

    private Optional<EntryId> nextTarget() {
        while (true) {
            EntryId next = order.poll();
            if (next == null) {
                List<EntryId> others = new ArrayList<>(table.others());
                if (others.isEmpty()) {
                    return Optional.empty();
                }
                shuffle(others);
                order.addAll(others);
            } else if (isNotDead(next)) {
                return Optional.of(next);
            }
        }
    }

    /** Finds entries that were never heard, and after a cut those that each side took for dead. */
    private void probeSomeoneUnheard() {
        List<EntryId> unheard = table.unheard();
        if (!unheard.isEmpty()) {
            send(unheard.get(context.random().nextInt(unheard.size())), Gossip.Kind.PROBE, 0, Optional.empty());
        }
    }

    private void probe(EntryId target) {
        long sequence = nextSequence++;
        Probe probe = new Probe(target, Optional.empty(), 0);
        probes.put(sequence, probe);
        send(target, Gossip.Kind.PROBE, sequence, Optional.empty());
        context.after(DIRECT_ANSWER, () -> {
            if (!probe.answered) {
                askHelpers(target, sequence);
            }
        });
        context.after(PERIOD, () -> {
            probes.remove(sequence);
            if (!probe.answered) {
                suspect(target);
            }
        });
    }

    private void askHelpers(EntryId target, long sequence) {
        List<EntryId> helpers = new ArrayList<>(table.others());
        helpers.remove(target);
        shuffle(helpers);
        for (EntryId helper : helpers.subList(0, Math.min(HELPERS, helpers.size()))) {
            send(helper, Gossip.Kind.INDIRECT_PROBE, sequence, Optional.of(target));
        }
    }

    private void probeFor(EntryId asker, long askedSequence, EntryId target) {
        long sequence = nextSequence++;
        probes.put(sequence, new Probe(target, Optional.of(asker), askedSequence));
        send(target, Gossip.Kind.PROBE, sequence, Optional.empty());
        context.after(PERIOD, () -> probes.remove(sequence));
    }

    private void receive(EntryId from, Gossip gossip) {
        gossip.members().forEach(this::takeRecord);
        switch (gossip.kind()) {
            case PROBE -> send(from, Gossip.Kind.ANSWER, gossip.sequence(), Optional.empty());
            case ANSWER -> onAnswer(from, gossip.sequence());
            case INDIRECT_PROBE -> gossip.target().ifPresent(target -> probeFor(from, gossip.sequence(), target));
            case INDIRECT_ANSWER -> markAnswered(gossip.sequence());
            case ASK_TABLE -> queueTable(from);
            default -> tableAsked = true;
        }
        if (!tableAsked) {
            tableAsked = true;
            send(from, Gossip.Kind.ASK_TABLE, 0, Optional.empty());
        }
    }

    private void onAnswer(EntryId from, long sequence) {
        Probe probe = probes.get(sequence);
        if (probe == null || !probe.target.equals(from)) {
            return;
        }
        probe.answered = true;
        probe.askedBy.ifPresent(
                asker -> send(asker, Gossip.Kind.INDIRECT_ANSWER, probe.askedSequence, Optional.of(from)));
    }

    private void markAnswered(long sequence) {
        Probe probe = probes.get(sequence);
        if (probe != null) {
            probe.answered = true;
        }
    }

    // ---- Suspicion.

    private void suspect(EntryId target) {
        MemberRecord known = table.find(target).orElse(null);
        if (known == null) {
            return;
        }
        if (known.state() == State.ALIVE) {
            takeRecord(known.withState(State.SUSPECT));
        } else if (known.state() == State.LEAVING) {
            takeRecord(known.withState(State.DEAD));
        }
    }

    private void watchSuspicion(MemberRecord suspected) {
        int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(table.size());
        Duration wait = SUSPICION_PER_DOUBLING.multipliedBy(doublings);
        Duration limit = Comparators.max(wait, SHORTEST_SUSPICION);
        cancelSuspicion(suspected.entry());
        suspicions.put(suspected.entry(), context.after(limit, () -> {
            MemberRecord known = table.find(suspected.entry()).orElse(null);
            if (known != null && known.state() == State.SUSPECT) {
                takeRecord(known.withState(State.DEAD));
            }
        }));
    }

    private void cancelSuspicion(EntryId entry) {
        ControlContext.Timer timer = suspicions.remove(entry);
        if (timer != null) {
            timer.cancel();
        }
    }

    private void takeRecord(MemberRecord heard) {
        if (heard.entry().equals(context.self().entry())) {
            refuteIfWrong(heard);
            return;
        }
        MemberTable.Taken taken = table.take(heard, context.nowNanos());
        if (taken == MemberTable.Taken.NOTHING_NEW) {
            return;
        }
        tableDirty = true;
        if (heard.catalogueRevision() > catalogueRevision && heard.state() != State.DEAD) {
            context.raise(new RevisionReported(heard.entry(), heard.catalogueRevision()));
        }
        if (taken == MemberTable.Taken.CHANGE) {
            if (heard.state() == State.SUSPECT) {
                watchSuspicion(heard);
            } else {
                cancelSuspicion(heard.entry());
            }
            raiseChanged();
        }
    }

    /**
     * Guards against being declared dead while alive, as after a pause or a cut: the entry would vanish from the
     * directory although it serves. A higher version wins over any suspicion or death of a lower one.
     */
    private void refuteIfWrong(MemberRecord heard) {
        MemberRecord own = table.own();
        boolean wrong = heard.state() != own.state() && heard.state() != State.ALIVE;
        if (heard.incarnation() == own.incarnation() && heard.version() >= own.version() && wrong) {
            table.refute(heard.version());
            tableDirty = true;
        }
    }

    // ---- This entry's own record.

    private void tellOwnNews() {
        boolean changed = load != toldLoad || catalogueRevision != toldRevision;
        if (changed) {
            toldLoad = load;
            toldRevision = catalogueRevision;
            table.renewOwn(leaving ? State.LEAVING : State.ALIVE, load, catalogueRevision);
            tableDirty = true;
        }
    }

    private void leave() {
        if (leaving) {
            return;
        }
        leaving = true;
        table.renewOwn(State.LEAVING, load, catalogueRevision);
        tableDirty = true;
        raiseChanged();
        List<EntryId> others = new ArrayList<>(table.others());
        shuffle(others);
        for (EntryId other : others.subList(0, Math.min(FAREWELLS, others.size()))) {
            send(other, Gossip.Kind.PROBE, 0, Optional.empty());
        }
    }

    // ---- The list and the exchange of whole tables.

    private void takeList(PlatformListed list) {
        Map<EntryId, NetworkAddress> entries = new TreeMap<>();
        for (ListedVm vm : list.vms()) {
            if (vm.kind() == VmKind.ENTRY && !vm.leaving()) {
                entries.put(EntryId.of(vm.name()), vm.address());
            }
        }
        table.list(entries);
        tableDirty = true;
    }

    private void exchangeTable() {
        Duration wait = TABLE_EXCHANGE_PER_ENTRY.multipliedBy(table.size());
        context.after(Comparators.max(wait, SHORTEST_TABLE_EXCHANGE), this::exchangeTable);
        List<EntryId> others = table.others();
        if (!others.isEmpty()) {
            EntryId partner = others.get(context.random().nextInt(others.size()));
            send(partner, Gossip.Kind.ASK_TABLE, 0, Optional.empty());
        }
    }

    private void queueTable(EntryId to) {
        boolean known = tablesToSend.stream().anyMatch(sending -> sending.to.equals(to));
        if (known || tablesToSend.size() == TABLES_WAITING) {
            return;
        }
        boolean idle = tablesToSend.isEmpty();
        tablesToSend.add(new TableSending(to, List.copyOf(Lists.partition(table.all(), RECORDS_PER_TABLE_MESSAGE))));
        if (idle) {
            sendChunk();
        }
    }

    /** One chunk a period, whoever asked: whole tables at once would pass the byte budget of many seconds. */
    private void sendChunk() {
        TableSending sending = tablesToSend.peek();
        if (sending == null) {
            return;
        }
        List<MemberRecord> chunk = sending.chunks.get(sending.next++);
        context.send(sending.to, new Gossip(Gossip.Kind.TABLE, 0, Optional.empty(), ImmutableList.copyOf(chunk)));
        if (sending.next == sending.chunks.size()) {
            tablesToSend.poll();
        }
    }

    // ---- Small helpers.

    private void send(EntryId to, Gossip.Kind kind, long sequence, Optional<EntryId> target) {
        context.send(to, new Gossip(kind, sequence, target, table.forMessage(to)));
    }

    private void raiseChanged() {
        context.raise(new MembersChanged(table.statuses()));
    }

    private boolean isNotDead(EntryId entry) {
        return table.find(entry).map(known -> known.state() != State.DEAD).orElse(false);
    }

    private Duration randomPartOf(Duration whole) {
        return Duration.ofNanos((long) (context.random().nextDouble() * whole.toNanos()));
    }

    private void shuffle(List<EntryId> entries) {
        for (int last = entries.size() - 1; last > 0; last--) {
            Collections.swap(entries, last, context.random().nextInt(last + 1));
        }
    }
}

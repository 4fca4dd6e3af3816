package org.yuccagw.bench.fuzz;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.yuccagw.adapters.peer.ClaimLogProtobuf;
import org.yuccagw.adapters.settings.CatalogueJson;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.bench.control.ControlBench;
import org.yuccagw.bench.control.EnginePool;
import org.yuccagw.bench.control.SampleCatalogues;
import org.yuccagw.core.admission.AdmissionComponent;
import org.yuccagw.core.catalogue.Catalogue;
import org.yuccagw.core.catalogue.CatalogueComponent;
import org.yuccagw.core.catalogue.CatalogueEditRequested;
import org.yuccagw.core.claim.ClaimComponent;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.endpoint.EndpointsComponent;
import org.yuccagw.core.id.WeightVersion;
import org.yuccagw.core.membership.MembershipComponent;
import org.yuccagw.core.quarantine.QuarantineComponent;
import org.yuccagw.core.shard.ShardsComponent;
import org.yuccagw.core.suspect.AllMembers;
import org.yuccagw.core.suspect.SuspectPartsComponent;
import org.yuccagw.core.swap.SwapsComponent;

/**
 * Four entries' control cores with everything that they decide together, one pool of engines, callers and operators, in
 * virtual time. A {@link FuzzStep} changes it; {@link FuzzPromises} judges it from outside.
 */
final class FuzzWorld {
    static final int ENTRIES = 4;
    static final int ENGINES = 5;
    static final int SWAPS_AT_ONCE = 2;
    static final String POOL = "assistant";
    private static final Duration SETTLE = Duration.ofSeconds(12);
    private static final Duration LOAD = Duration.ofMillis(450);
    private static final Duration SLOW = Duration.ofMillis(1_500);
    private static final Duration USUAL = Duration.ofMillis(3);
    private static final int LONGEST_PAUSE_MILLIS = 20_000;

    private final ControlBench bench;
    private final EnginePool engines;
    private final Map<BenchNode, ShardsComponent> authorities = new LinkedHashMap<>();
    private final FuzzCalls calls;
    private final FuzzAdmissions admissions;
    private final List<Long> accepted = new ArrayList<>();
    private int edits;
    private boolean networkCut;

    private FuzzWorld(long seed) {
        bench = ControlBench.of(seed);
        engines = EnginePool.start(bench, POOL, ENGINES, SampleCatalogues.FIRST_VERSION, true, LOAD);
        calls = new FuzzCalls(bench);
        admissions = new FuzzAdmissions();
        for (int i = 0; i < ENTRIES; i++) {
            startEntry("entry-" + i);
        }
        bench.runFor(Duration.ofSeconds(3));
        edit(node(0), SampleCatalogues.FIRST_VERSION, FuzzAdmissions.LIMIT);
        bench.runFor(SETTLE);
    }

    /** A settled world: one catalogue in force, all shards owned. */
    static FuzzWorld settled(long seed) {
        return new FuzzWorld(seed);
    }

    ControlBench bench() {
        return bench;
    }

    EnginePool engines() {
        return engines;
    }

    FuzzCalls calls() {
        return calls;
    }

    FuzzAdmissions admissions() {
        return admissions;
    }

    /** Living entries and the part of each that says whether it may act for a shard. */
    Map<BenchNode, ShardsComponent> authorities() {
        Map<BenchNode, ShardsComponent> living = new HashMap<>(authorities);
        living.keySet().removeIf(BenchNode::isDead);
        return living;
    }

    /** Revisions that operators were told are accepted. */
    List<Long> acceptedRevisions() {
        return accepted;
    }

    /** Makes the step happen and lets its time pass. */
    void take(FuzzStep step) {
        if (networkCut) {
            admissions.forgetWhatRunsBehindACut();
        }
        BenchNode one = node(step.first());
        BenchNode other = node(step.first() + 1 + step.second() % (ENTRIES - 1));
        switch (step.kind()) {
            case CALL -> calls.callNew(one);
            case CALL_AGAIN -> calls.callAgain(one, step.second());
            case CALL_TWICE -> calls.callTwice(one, other);
            case ADMIT -> admissions.ask(one);
            case ADMIT_MANY -> admissions.askMany(one, step.second() % 12);
            case RELEASE -> admissions.release(step.second());
            case EDIT -> edit(one, currentVersion(one), FuzzAdmissions.LIMIT);
            case EDIT_RACE -> {
                edit(one, currentVersion(one), FuzzAdmissions.LIMIT);
                edit(other, currentVersion(other), FuzzAdmissions.LIMIT);
            }
            case SWAP -> edit(one, WeightVersion.of("v" + step.second() % 3), FuzzAdmissions.LIMIT);
            case CUT -> cut(() -> bench.cut(one, other));
            case CUT_ONE_WAY -> cut(() -> bench.cutOneWay(one, other));
            case CUT_OFF -> bench.keyValue().cutOff(one.entry());
            case HEAL -> heal();
            case KEY_VALUE_DOWN -> bench.keyValue().setDown(true);
            case KEY_VALUE_UP -> heal();
            case KEY_VALUE_SLOW -> bench.keyValue().setLatency(SLOW);
            case KEY_VALUE_LOSES_ANSWERS -> bench.keyValue().loseAnswersOf(call -> call.hashCode() % 2 == 0);
            case PAUSE -> one.pause(Duration.ofMillis(step.second() * 37L % LONGEST_PAUSE_MILLIS));
            case KILL -> kill(one);
            case RESTART -> restart(one);
            default -> {}
        }
        bench.runFor(Duration.ofMillis(step.millis()));
    }

    private BenchNode node(int number) {
        return bench.node("entry-" + Math.floorMod(number, ENTRIES)).orElseThrow();
    }

    private void cut(Runnable cutting) {
        cutting.run();
        networkCut = true;
        admissions.forgetWhatRunsBehindACut();
    }

    private void heal() {
        networkCut = false;
        bench.healNetwork();
        bench.keyValue().setDown(false);
        bench.keyValue().setLatency(USUAL);
        bench.keyValue().loseAnswersOf(call -> false);
        bench.nodes().forEach(node -> bench.keyValue().reach(node.entry()));
    }

    private void kill(BenchNode node) {
        node.kill();
        admissions.forget(node);
    }

    private void restart(BenchNode node) {
        kill(node);
        startEntry(node.entry().value());
    }

    private void startEntry(String name) {
        CatalogueComponent catalogue = CatalogueComponent.of(CatalogueJson.create());
        ShardsComponent shards = ShardsComponent.of();
        AllMembers members = AllMembers.create();
        SuspectPartsComponent suspectParts = SuspectPartsComponent.of(members);
        List<ControlComponent> components = List.of(
                catalogue,
                MembershipComponent.of(catalogue),
                EndpointsComponent.of(),
                shards,
                SwapsComponent.of(shards),
                ClaimComponent.of(shards, shards::snapshot, ClaimLogProtobuf.of()),
                members,
                suspectParts,
                QuarantineComponent.of(shards, shards::snapshot, suspectParts),
                AdmissionComponent.of(shards, shards::snapshot),
                new TrafficPart());
        authorities.put(bench.start(name, components), shards);
    }

    private static WeightVersion currentVersion(BenchNode node) {
        return node.state(Catalogue.class)
                .flatMap(catalogue -> catalogue.services().values().stream().findFirst())
                .flatMap(service -> service.model())
                .map(model -> model.version())
                .orElse(SampleCatalogues.FIRST_VERSION);
    }

    private void edit(BenchNode node, WeightVersion version, int limit) {
        Optional<Catalogue> known = node.state(Catalogue.class);
        long base = known.map(Catalogue::revision).orElse(0L);
        Catalogue changed = SampleCatalogues.withLimit(
                SampleCatalogues.ofWorkspaces(2 + edits % 5), FuzzAdmissions.WORKSPACE, limit);
        Catalogue wanted = SampleCatalogues.withPool(changed, POOL, version, true, SWAPS_AT_ONCE, 1);
        String editId = "edit-" + edits++;
        node.offer(new CatalogueEditRequested(base, wanted, editId, "mari", result -> {
            if (result instanceof CatalogueEditRequested.Result.Accepted taken) {
                accepted.add(taken.revision());
            }
        }));
    }

    /** Work of traffic on an entry: it waits while the process is paused, and is lost when it dies. */
    record TrafficWork(Runnable work) implements ControlEvent {}

    private static final class TrafficPart implements ControlComponent {
        @Override
        public void handle(ControlEvent event, ControlContext context) {
            if (event instanceof TrafficWork traffic) {
                traffic.work().run();
            }
        }
    }
}

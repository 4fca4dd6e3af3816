package org.yuccagw.core.endpoint;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.bench.control.ControlBench;
import org.yuccagw.bench.control.ControlComponents;
import org.yuccagw.bench.control.EnginePool;
import org.yuccagw.bench.control.SampleCatalogues;
import org.yuccagw.core.catalogue.CatalogueEditRequested;
import org.yuccagw.core.endpoint.AttemptObserved.Outcome;
import org.yuccagw.core.endpoint.PlatformListed.ListedVm;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.VmId;

public class EndpointsTest {
    private static final Duration LONG = Duration.ofMinutes(2);
    private static final Duration AFTER_FIRST_SIGN = Duration.ofSeconds(3);
    private static final String POOL = "assistant";
    private static final int REPLICAS = 13;
    private static final EndpointId SUBJECT = EndpointId.of("assistant-04");

    private ControlBench bench;
    private EnginePool engines;
    private List<BenchNode> nodes;

    @BeforeMethod
    public void startEntriesAndAPool() {
        bench = ControlBench.of(41);
        engines = EnginePool.start(bench, POOL, REPLICAS, SampleCatalogues.FIRST_VERSION, true, Duration.ofMillis(450));
        nodes = new ArrayList<>();
        for (int index = 0; index < 5; index++) {
            nodes.add(bench.start("entry-" + index, ControlComponents.all()));
        }
        bench.runFor(Duration.ofSeconds(5));
        nodes.get(0)
                .offer(new CatalogueEditRequested(
                        0,
                        SampleCatalogues.withPool(
                                SampleCatalogues.ofWorkspaces(1), POOL, SampleCatalogues.FIRST_VERSION, true, 3, 9),
                        "first",
                        "mari",
                        result -> {}));
        assertTrue(bench.runUntil(() -> nodes.stream().allMatch(this::knowsAllVersions), LONG));
    }

    // The platform decides to stop a VM. Its endpoint says so at once, the platform's list shows the VM as live for
    // another minute. Requests that are sent there meanwhile are cut when it stops.
    @Test
    public void aLaggingListDoesNotBringALeavingEndpointBack() {
        engines.setLeaving(SUBJECT.value(), true);
        assertTrue(bench.runUntil(() -> nobodySendsTo(SUBJECT), AFTER_FIRST_SIGN));
        engines.setLeaving(SUBJECT.value(), false);
        bench.runFor(Duration.ofMinutes(1));
        assertTrue(nobodySendsTo(SUBJECT));
        engines.replace(SUBJECT.value());
        assertTrue(bench.runUntil(() -> everybodySendsTo(SUBJECT), Duration.ofSeconds(5)));
    }

    // Only one entry happens to send a request and is told "leaving"; the endpoint's own report lags. The others must
    // not go on sending until they are told the same, one by one.
    @Test
    public void whatOneEntryIsToldOfALeavingEndpointAllKnowWithinSeconds() {
        nodes.get(2).offer(new AttemptObserved(SUBJECT, 1, Outcome.SAID_LEAVING));
        assertTrue(bench.runUntil(() -> nobodySendsTo(SUBJECT), AFTER_FIRST_SIGN));
    }

    // A fault of the entry's own network makes every endpoint look broken. Ejecting them all would turn a partial
    // failure into a whole one.
    @Test
    public void aSignalThatIsWrongForAllCannotEmptyAPool() {
        BenchNode node = nodes.get(0);
        for (int round = 0; round < 10; round++) {
            for (EndpointStatus endpoint : endpointsOf(node).byId().values()) {
                node.offer(new AttemptObserved(endpoint.id(), 1, Outcome.FAILED));
            }
        }
        assertEquals(endpointsOf(node).takingNewWork(POOL).size(), REPLICAS - REPLICAS / 2);
    }

    @Test
    public void anEjectedEndpointTakesWorkAgainOnceItAnswers() {
        BenchNode node = nodes.get(0);
        for (int failure = 0; failure < 3; failure++) {
            node.offer(new AttemptObserved(SUBJECT, 1, Outcome.SILENT));
        }
        assertFalse(takesNewWork(node, SUBJECT));
        assertTrue(bench.runUntil(() -> takesNewWork(node, SUBJECT), Duration.ofSeconds(8)));
    }

    @Test
    public void anObservationOfAnEarlierIncarnationIsIgnored() {
        BenchNode node = nodes.get(0);
        engines.replace(SUBJECT.value());
        bench.runFor(Duration.ofSeconds(3));
        node.offer(new AttemptObserved(SUBJECT, 1, Outcome.SAID_LEAVING));
        assertTrue(takesNewWork(node, SUBJECT));
    }

    // The list comes back without one line, though the VM lives. Dropping the endpoint would throw away its cache and
    // a part of the capacity.
    @Test
    public void anEndpointGoesOnlyWhenTheListAndItsSilenceAgree() {
        ListedVm line = bench.vms().stream()
                .filter(vm -> vm.name().equals(SUBJECT.value()))
                .findFirst()
                .orElseThrow();
        bench.vms().remove(line);
        bench.runFor(Duration.ofMinutes(1));
        assertTrue(everybodySendsTo(SUBJECT));
        engines.kill(SUBJECT.value());
        assertTrue(bench.runUntil(
                () -> nodes.stream()
                        .noneMatch(node -> endpointsOf(node).find(SUBJECT).isPresent()),
                LONG));
    }

    // Plain services aren't probed, so their silence says nothing. One list that comes back empty must not take every
    // endpoint of theirs away; only what stays missing for long is gone.
    @Test
    public void oneListWithoutAPlainServiceDoesNotEmptyItsPool() {
        BenchNode node = nodes.get(0);
        PlatformListed.ListedVm plain = new ListedVm(
                VmId.of("vm-portal"),
                1,
                false,
                PlatformListed.VmKind.ENDPOINT,
                "portal-0",
                "portal",
                FailureDomain.of("kadaka"),
                NetworkAddress.of("127.0.0.1", 9000));
        bench.vms().add(plain);
        bench.runFor(Duration.ofMinutes(1));
        bench.vms().remove(plain);
        bench.runFor(Duration.ofSeconds(2));
        assertTrue(takesNewWork(node, EndpointId.of("portal-0")));
        bench.vms().add(plain);
        bench.runFor(Duration.ofMinutes(1));
        assertTrue(takesNewWork(node, EndpointId.of("portal-0")));
        bench.vms().remove(plain);
        bench.runFor(Duration.ofSeconds(30));
        assertTrue(endpointsOf(node).find(EndpointId.of("portal-0")).isEmpty());
    }

    // A failure domain loses power: a third of the endpoints is gone at once, without a word. New requests must go to
    // the rest, although the list still names the lost ones.
    @Test
    public void theLossOfAFailureDomainLeavesOnlyTheOthersInUse() {
        bench.vms().stream()
                .filter(vm -> vm.domain().value().equals("mustamae"))
                .forEach(vm -> engines.kill(vm.name()));
        assertTrue(bench.runUntil(
                () -> nodes.stream()
                        .allMatch(node -> endpointsOf(node).takingNewWork(POOL).stream()
                                .noneMatch(endpoint -> endpoint.domain().value().equals("mustamae"))),
                Duration.ofSeconds(15)));
        nodes.forEach(node -> assertEquals(endpointsOf(node).takingNewWork(POOL).size(), 9));
    }

    private boolean knowsAllVersions(BenchNode node) {
        return endpointsOf(node).byId().values().stream()
                        .filter(endpoint -> endpoint.version().isPresent())
                        .count()
                == REPLICAS;
    }

    private boolean nobodySendsTo(EndpointId endpoint) {
        return nodes.stream().noneMatch(node -> takesNewWork(node, endpoint));
    }

    private boolean everybodySendsTo(EndpointId endpoint) {
        return nodes.stream().allMatch(node -> takesNewWork(node, endpoint));
    }

    private static boolean takesNewWork(BenchNode node, EndpointId endpoint) {
        return endpointsOf(node)
                .find(endpoint)
                .map(EndpointStatus::takesNewWork)
                .orElse(false);
    }

    private static EndpointsSnapshot endpointsOf(BenchNode node) {
        return node.state(EndpointsSnapshot.class).orElseThrow();
    }
}

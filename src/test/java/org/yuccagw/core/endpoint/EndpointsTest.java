package org.yuccagw.core.endpoint;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
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
import org.yuccagw.core.id.WeightVersion;

public class EndpointsTest {
    private static final Duration LONG_TIMEOUT = Duration.ofMinutes(2);
    private static final Duration PROPAGATION_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration REQUEST_RETRY_DELAY = Duration.ofMillis(250);
    private static final WeightVersion NEXT_VERSION = WeightVersion.of("next");
    private static final String POOL = "assistant";
    private static final int REPLICAS = 13;
    private static final EndpointId SUBJECT = EndpointId.of("assistant-04");

    private ControlBench bench;
    private EnginePool engines;
    private List<BenchNode> entries;

    @BeforeMethod
    public void startEntriesAndPool() {
        bench = ControlBench.of(41);
        engines = EnginePool.start(bench, POOL, REPLICAS, SampleCatalogues.FIRST_VERSION, true, Duration.ofMillis(450));
        entries = new ArrayList<>();
        for (int index = 0; index < 5; index++) {
            entries.add(bench.start("entry-" + index, ControlComponents.all()));
        }
        bench.runFor(Duration.ofSeconds(5));
        entries.get(0)
                .offer(new CatalogueEditRequested(
                        0,
                        SampleCatalogues.withPool(
                                SampleCatalogues.ofWorkspaces(1), POOL, SampleCatalogues.FIRST_VERSION, true, 3, 9),
                        "first",
                        "mari",
                        result -> {}));
        assertTrue(bench.runUntil(() -> entries.stream().allMatch(this::hasAllVersions), LONG_TIMEOUT));
    }

    // The platform decides to stop a VM. Its endpoint reports this at once, but the platform's list shows the VM as
    // live for another minute. Requests that are sent there meanwhile are interrupted when the VM stops.
    @Test
    public void aLaggingListDoesNotRestoreALeavingEndpoint() {
        engines.setLeaving(SUBJECT.value(), true);
        assertTrue(bench.runUntil(() -> noEntrySendsTo(SUBJECT), PROPAGATION_TIMEOUT));
        engines.setLeaving(SUBJECT.value(), false);
        bench.runFor(Duration.ofMinutes(1));
        assertTrue(noEntrySendsTo(SUBJECT));
        engines.replace(SUBJECT.value());
        assertTrue(bench.runUntil(() -> allEntriesSendTo(SUBJECT), Duration.ofSeconds(5)));
    }

    // Only one entry sends a request and gets the answer that the endpoint is leaving; the endpoint's own report lags.
    // The other entries must not keep sending until each of them gets the same answer.
    @Test
    public void allEntriesLearnWithinSecondsThatAnEndpointIsLeaving() {
        entries.get(2).offer(new AttemptObserved(SUBJECT, 1, Outcome.SAID_LEAVING));
        assertTrue(bench.runUntil(() -> noEntrySendsTo(SUBJECT), PROPAGATION_TIMEOUT));
    }

    // Guards against sending requests to an engine, until its next regular probe, that refuses them since its weights
    // were swapped.
    @Test
    public void theVersionOfAnEngineThatRefusedForItIsKnownBeforeARequestIsRetried() {
        for (BenchNode entry : entries) {
            engines.setVersion(SUBJECT.value(), NEXT_VERSION);
            entry.offer(new AttemptObserved(SUBJECT, 1, Outcome.WRONG_VERSION));
            assertTrue(bench.runUntil(() -> knowsNextVersion(entry), REQUEST_RETRY_DELAY));
            engines.setVersion(SUBJECT.value(), SampleCatalogues.FIRST_VERSION);
            assertTrue(bench.runUntil(() -> entries.stream().noneMatch(EndpointsTest::knowsNextVersion), LONG_TIMEOUT));
        }
    }

    // A fault of the entry's own network makes every endpoint look failed. Ejecting them all would turn a partial
    // failure into a total one.
    @Test
    public void aWrongFailureSignalForAllEndpointsDoesNotEmptyAPool() {
        BenchNode entry = entries.get(0);
        for (int round = 0; round < 10; round++) {
            for (EndpointStatus endpoint : endpointsOf(entry).byId().values()) {
                entry.offer(new AttemptObserved(endpoint.id(), 1, Outcome.FAILED));
            }
        }
        assertEquals(endpointsOf(entry).takingNewWork(POOL).size(), REPLICAS - REPLICAS / 2);
    }

    @Test
    public void anEjectedEndpointAcceptsWorkAgainOnceItAnswers() {
        BenchNode entry = entries.get(0);
        for (int failure = 0; failure < 3; failure++) {
            entry.offer(new AttemptObserved(SUBJECT, 1, Outcome.SILENT));
        }
        assertFalse(takesNewWork(entry, SUBJECT));
        assertTrue(bench.runUntil(() -> takesNewWork(entry, SUBJECT), Duration.ofSeconds(8)));
    }

    @Test
    public void anObservationOfAnEarlierIncarnationIsIgnored() {
        BenchNode entry = entries.get(0);
        engines.replace(SUBJECT.value());
        bench.runFor(Duration.ofSeconds(3));
        entry.offer(new AttemptObserved(SUBJECT, 1, Outcome.SAID_LEAVING));
        assertTrue(takesNewWork(entry, SUBJECT));
    }

    // The list lacks one line, although the VM is live. Removing the endpoint would discard its cache and some of the
    // capacity.
    @Test
    public void anEndpointIsRemovedOnlyWhenItIsUnlistedAndSilent() {
        ListedVm subjectVm = bench.vms().stream()
                .filter(vm -> vm.name().equals(SUBJECT.value()))
                .findFirst()
                .orElseThrow();
        bench.vms().remove(subjectVm);
        bench.runFor(Duration.ofMinutes(1));
        assertTrue(allEntriesSendTo(SUBJECT));
        engines.kill(SUBJECT.value());
        assertTrue(bench.runUntil(
                () -> entries.stream()
                        .noneMatch(entry -> endpointsOf(entry).find(SUBJECT).isPresent()),
                LONG_TIMEOUT));
    }

    // Plain services aren't probed, so their silence has no meaning. One list that is empty must not remove all their
    // endpoints; an endpoint is removed only if it stays missing for long.
    @Test
    public void oneListWithoutAPlainServiceDoesNotEmptyItsPool() {
        BenchNode entry = entries.get(0);
        PlatformListed.ListedVm plainVm = new ListedVm(
                VmId.of("vm-portal"),
                1,
                false,
                PlatformListed.VmKind.ENDPOINT,
                "portal-0",
                "portal",
                FailureDomain.of("kadaka"),
                NetworkAddress.of("127.0.0.1", 9000));
        bench.vms().add(plainVm);
        bench.runFor(Duration.ofMinutes(1));
        bench.vms().remove(plainVm);
        bench.runFor(Duration.ofSeconds(2));
        assertTrue(takesNewWork(entry, EndpointId.of("portal-0")));
        bench.vms().add(plainVm);
        bench.runFor(Duration.ofMinutes(1));
        assertTrue(takesNewWork(entry, EndpointId.of("portal-0")));
        bench.vms().remove(plainVm);
        bench.runFor(Duration.ofSeconds(30));
        assertTrue(endpointsOf(entry).find(EndpointId.of("portal-0")).isEmpty());
    }

    // A failure domain loses power: a third of the endpoints fail at once, without notice. New requests must go to the
    // rest, although the list still contains the failed ones.
    @Test
    public void afterTheLossOfAFailureDomainOnlyOtherEndpointsAreUsed() {
        bench.vms().stream()
                .filter(vm -> vm.domain().value().equals("mustamae"))
                .forEach(vm -> engines.kill(vm.name()));
        assertTrue(bench.runUntil(
                () -> entries.stream()
                        .allMatch(entry -> endpointsOf(entry).takingNewWork(POOL).stream()
                                .noneMatch(endpoint -> endpoint.domain().value().equals("mustamae"))),
                Duration.ofSeconds(15)));
        entries.forEach(
                entry -> assertEquals(endpointsOf(entry).takingNewWork(POOL).size(), 9));
    }

    private boolean hasAllVersions(BenchNode entry) {
        return endpointsOf(entry).byId().values().stream()
                        .filter(endpoint -> endpoint.version().isPresent())
                        .count()
                == REPLICAS;
    }

    private static boolean knowsNextVersion(BenchNode entry) {
        return endpointsOf(entry).find(SUBJECT).orElseThrow().version().equals(Optional.of(NEXT_VERSION));
    }

    private boolean noEntrySendsTo(EndpointId endpoint) {
        return entries.stream().noneMatch(entry -> takesNewWork(entry, endpoint));
    }

    private boolean allEntriesSendTo(EndpointId endpoint) {
        return entries.stream().allMatch(entry -> takesNewWork(entry, endpoint));
    }

    private static boolean takesNewWork(BenchNode entry, EndpointId endpoint) {
        return endpointsOf(entry)
                .find(endpoint)
                .map(EndpointStatus::takesNewWork)
                .orElse(false);
    }

    private static EndpointsSnapshot endpointsOf(BenchNode entry) {
        return entry.state(EndpointsSnapshot.class).orElseThrow();
    }
}

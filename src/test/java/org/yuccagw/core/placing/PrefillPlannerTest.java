package org.yuccagw.core.placing;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.bench.control.ControlBench;
import org.yuccagw.core.control.ControlAction;
import org.yuccagw.core.control.ControlInput;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.deployment.BackEndService;
import org.yuccagw.core.deployment.CacheStore;
import org.yuccagw.core.deployment.ColdTraits;
import org.yuccagw.core.deployment.Deployment;
import org.yuccagw.core.deployment.EngineTraits;
import org.yuccagw.core.deployment.PermittedRegions;
import org.yuccagw.core.deployment.RequestLimits;
import org.yuccagw.core.deployment.Route;
import org.yuccagw.core.deployment.RouteKind;
import org.yuccagw.core.deployment.ServiceShare;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.follow.ConfigurationComponent;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.SoftwareVersion;
import org.yuccagw.core.id.StoreId;
import org.yuccagw.core.prompt.PromptPart;
import org.yuccagw.core.prompt.PromptShape;
import org.yuccagw.core.ratelimit.NoPeers;
import org.yuccagw.core.stores.EngineCachesComponent;
import org.yuccagw.core.stores.StoreAnswer;
import org.yuccagw.core.stores.StoreCall;
import org.yuccagw.core.stores.StoresComponent;

public class PrefillPlannerTest {
    private static final FailureDomain STORE_DOMAIN = FailureDomain.of("near");
    private static final ServiceName SERVICE = ServiceName.of("engines");
    private static final EngineTraits ENGINE = new EngineTraits(8, 50_000, 1_000, 1_000, 12, ImmutableList.of("model"));
    private static final CacheStore STORE = new CacheStore(
            StoreId.of("store"), NetworkAddress.of("127.0.0.1", 1), STORE_DOMAIN, 100_000, 4_000, 12, true, 6);
    private static final PromptShape PROMPT = new PromptShape(
            "model", 5_200, 50, ImmutableList.of(new PromptPart("session", 5_000), new PromptPart("own", 200)));

    private PrefillPlanner planner;

    @BeforeMethod
    public void startEntry() {
        ControlBench bench = ControlBench.of(3);
        bench.onAction((action, input) -> answer(bench, action, input));
        StoresComponent stores = StoresComponent.of(() -> List.of(EntryId.of("entry-1")));
        EngineCachesComponent caches =
                EngineCachesComponent.of(() -> List.of(EntryId.of("entry-1")), NoPeers.unlimitedCalls());
        BenchNode node = bench.start("entry-1", STORE_DOMAIN, List.of(stores, caches));
        node.offer(new ConfigurationComponent.Applied(deployment()));
        bench.runFor(Duration.ofSeconds(1));
        planner = new PrefillPlanner(stores, caches);
    }

    // Newer weights have been named, and the parts in the stores belong to the older ones. Guards against planning
    // as if an engine that still runs the older weights has to compute everything: prompts then crowd the few engines
    // that have loaded the newer ones.
    @Test
    public void storedPartsCountForTheWeightsThatTheEngineRuns() {
        PrefillPlan outdated = planner.plan(request(), engine("near", 1), ENGINE, false);
        assertEquals(outdated.fetchTokens(), 5_000);
        assertEquals(outdated.prefillTokens(), 200);
        PrefillPlan newer = planner.plan(request(), engine("near", 2), ENGINE, false);
        assertEquals(newer.fetchTokens(), 0);
        assertEquals(newer.prefillTokens(), 5_200);
        assertEquals(newer.sharedPrefillTokens(), 5_000);
    }

    @Test
    public void aTransferBetweenFailureDomainsTakesTwiceAsLong() {
        double sameDomain =
                planner.plan(request(), engine("near", 1), ENGINE, false).fetchMillis();
        double otherDomain =
                planner.plan(request(), engine("far", 1), ENGINE, false).fetchMillis();
        assertEquals(sameDomain, 6 + 40, 0.1);
        assertEquals(otherDomain, 6 + 80, 0.1);
    }

    @Test
    public void anEngineOfUnknownCacheIsAssumedToHoldThePartsOfItsSessions() {
        assertEquals(planner.plan(request(), engine("near", 1), ENGINE, true).prefillTokens(), 200);
        assertEquals(planner.plan(request(), engine("near", 1), ENGINE, true).fetchTokens(), 0);
    }

    private static boolean answer(ControlBench bench, ControlAction action, ControlInput input) {
        if (action instanceof StoreCall.PollChanges query) {
            StoreAnswer.Change storedPart = new StoreAnswer.Change(true, "s.1", "session", 5_000, "model");
            bench.time()
                    .after(
                            Duration.ofMillis(100),
                            () -> input.offer(new StoreAnswer.Changes(
                                    query.store().id(), 1, 1, false, 1_000, ImmutableList.of(storedPart))));
            return true;
        }
        return action instanceof Decision;
    }

    private static EndpointState engine(String domain, long version) {
        return new EndpointState(
                new ListedEndpoint(
                        EndpointIncarnation.of(EndpointId.of("engine"), 1),
                        SERVICE,
                        NetworkAddress.of("127.0.0.1", 2),
                        FailureDomain.of(domain),
                        SoftwareVersion.of("v1"),
                        8,
                        false,
                        0,
                        ImmutableMap.of("model", version),
                        0),
                0);
    }

    private static PlacementRequest request() {
        Route route = new Route(
                "prompts",
                "a.example",
                "/x/",
                RouteKind.STREAM,
                Duration.ofSeconds(5),
                Duration.ofMillis(400),
                Duration.ofMillis(300),
                0,
                ImmutableList.of(new ServiceShare(SERVICE, 1)),
                1,
                true,
                true,
                false,
                PermittedRegions.ANYWHERE);
        return new PlacementRequest(
                RequestId.of("r1"),
                route,
                SERVICE,
                Optional.empty(),
                Optional.of(PROMPT),
                "f",
                ImmutableSet.of(),
                PlacementRequest.Kind.FIRST,
                StreamContinuation.NONE,
                5_000,
                decision -> {});
    }

    private static Deployment deployment() {
        return Deployment.of(
                1,
                List.of(),
                List.of(new BackEndService(SERVICE, Optional.of(ENGINE), 100, "", ColdTraits.NEVER_COLD)),
                List.of(STORE),
                Optional.empty(),
                new RequestLimits(1, 1, Duration.ofSeconds(1), Duration.ofSeconds(1)));
    }
}

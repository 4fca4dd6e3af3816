package org.yuccagw.core.placing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.testng.annotations.Test;
import org.yuccagw.core.deployment.PermittedRegions;
import org.yuccagw.core.deployment.Route;
import org.yuccagw.core.deployment.RouteKind;
import org.yuccagw.core.deployment.ServiceShare;
import org.yuccagw.core.deployment.WorkspaceAccess;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.WorkspaceId;
import org.yuccagw.core.prompt.PromptPart;
import org.yuccagw.core.prompt.PromptShape;

public class RequestQueueTest {
    private static final ServiceName SERVICE = ServiceName.of("engines");
    private static final long MILLI = 1_000_000;

    // All workspaces share one priority. Guards against short, urgent grading prompts that wait behind drafts five
    // times as long because only the workspace's priority is compared.
    @Test
    public void withinOneWorkspacePriorityTheMoreUrgentRouteComesFirst() {
        RequestQueue queue = new RequestQueue();
        queue.add(RequestQueue.of(request("draft", 2, 800, 1), 0));
        queue.add(RequestQueue.of(request("grade", 0, 400, 1), 1));
        assertEquals(offered(queue, 2), List.of("grade", "draft"));
    }

    @Test
    public void theWorkspacePriorityPrecedesTheRoutePriority() {
        RequestQueue queue = new RequestQueue();
        queue.add(RequestQueue.of(request("grade of an ordinary workspace", 0, 400, 1), 0));
        queue.add(RequestQueue.of(request("draft of an urgent workspace", 2, 800, 0), 1));
        assertEquals(offered(queue, 2), List.of("draft of an urgent workspace", "grade of an ordinary workspace"));
    }

    // In an order by arrival every request behind a backlog is late. A request that is late already has to give way.
    @Test
    public void aLateRequestComesAfterOneThatCanStartInTime() {
        RequestQueue queue = new RequestQueue();
        queue.add(RequestQueue.of(request("late", 0, 400, 1), 0));
        queue.add(RequestQueue.of(request("in time", 2, 800, 1), 300 * MILLI));
        assertEquals(offered(queue, 500 * MILLI), List.of("in time", "late"));
    }

    @Test
    public void aRequestExpiresAfterHalfOfItsCallersTimeout() {
        RequestQueue queue = new RequestQueue();
        queue.add(RequestQueue.of(request("draft", 2, 800, 1), 0));
        List<String> expired = new ArrayList<>();
        queue.offerAll(1_700 * MILLI, each -> false, each -> expired.add(name(each)));
        assertTrue(expired.isEmpty(), expired.toString());
        queue.offerAll(1_800 * MILLI, each -> false, each -> expired.add(name(each)));
        assertEquals(expired, List.of("draft"));
        assertTrue(queue.isEmpty());
    }

    @Test
    public void theUrgencyForAnEngineKeepsTheOrderOfWorkspacesAndRoutes() {
        assertEquals(new RequestPriority(0, 2).urgency(), 2);
        assertEquals(new RequestPriority(1, 0).urgency(), 3);
        assertEquals(new RequestPriority(1, 7).urgency(), 5);
        assertEquals(new RequestPriority(9, 9).urgency(), 9);
    }

    private static List<String> offered(RequestQueue queue, long nowNanos) {
        List<String> offered = new ArrayList<>();
        queue.offerAll(nowNanos, each -> offered.add(name(each)), each -> {});
        return offered;
    }

    private static String name(RequestQueue.QueuedRequest queued) {
        return queued.request().request().value();
    }

    private static PlacementRequest request(String name, int routePriority, int targetMillis, int workspacePriority) {
        Route route = new Route(
                name,
                "a.example",
                "/x/",
                RouteKind.STREAM,
                Duration.ofSeconds(15),
                Duration.ofMillis(targetMillis),
                Duration.ofMillis(300),
                routePriority,
                ImmutableList.of(new ServiceShare(SERVICE, 1)),
                1,
                false,
                true,
                false,
                PermittedRegions.ANYWHERE);
        WorkspaceAccess workspace = new WorkspaceAccess(
                WorkspaceId.of("w" + workspacePriority),
                ImmutableSet.of(),
                OptionalInt.of(workspacePriority),
                false,
                PermittedRegions.ANYWHERE);
        PromptShape prompt = new PromptShape("model", 900, 50, ImmutableList.of(new PromptPart("own", 900)));
        return new PlacementRequest(
                RequestId.of(name),
                route,
                SERVICE,
                Optional.of(workspace),
                Optional.of(prompt),
                name,
                ImmutableSet.of(),
                PlacementRequest.Kind.FIRST,
                OptionalLong.empty(),
                15_000,
                decision -> {});
    }
}

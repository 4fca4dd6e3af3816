package org.yuccagw.core.placing;

import java.util.Comparator;

/**
 * The priority of a request: its workspace's priority first, then, within one workspace priority, its route's.
 *
 * <p>Most workspaces share one priority. If it alone determined the order, urgent routes would wait behind others: half
 * of the short grading prompts missed their target behind report drafts that were five times as long.
 *
 * @param workspacePriority 0 is the most urgent; the route's priority if the workspace has none
 * @param routePriority 0 is the most urgent
 */
record RequestPriority(int workspacePriority, int routePriority) implements Comparable<RequestPriority> {
    private static final Comparator<RequestPriority> ORDER = Comparator.comparingInt(RequestPriority::workspacePriority)
            .thenComparingInt(RequestPriority::routePriority);

    /** Engines support ten levels. Each workspace priority maps to this many of them. */
    private static final int LEVELS_PER_WORKSPACE_PRIORITY = 3;

    private static final int LEAST_URGENT = 9;

    static RequestPriority of(PlacementRequest request) {
        int routePriority = request.route().priority();
        int workspacePriority = request.workspace()
                .map(workspace -> workspace.priority().orElse(routePriority))
                .orElse(routePriority);
        return new RequestPriority(workspacePriority, routePriority);
    }

    /** Returns the level for an engine, from 0 for the most urgent to 9. */
    int urgency() {
        int routeLevel = Math.min(Math.max(0, routePriority), LEVELS_PER_WORKSPACE_PRIORITY - 1);
        return Math.min(LEAST_URGENT, Math.max(0, workspacePriority) * LEVELS_PER_WORKSPACE_PRIORITY + routeLevel);
    }

    /** Returns how much a pause in the answer counts against one of the most urgent route, from above 0 to 1. */
    double pauseWeight() {
        return 1.0 / (1 + Math.max(0, routePriority));
    }

    @Override
    public int compareTo(RequestPriority other) {
        return ORDER.compare(this, other);
    }
}

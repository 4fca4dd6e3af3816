package org.yuccagw.core.placing;

import java.util.Comparator;

/**
 * How urgent a request is: by its workspace's priority first, and among those of one workspace priority by its route's.
 *
 * <p>Workspaces mostly share one priority. Were it the only order, routes that are told to be urgent would wait behind
 * those that aren't: on a played day half of the short grading prompts missed their target behind report drafts five
 * times as long.
 *
 * @param ofWorkspace 0 is the most urgent; the route's where the workspace has none
 * @param ofRoute 0 is the most urgent
 */
record Rank(int ofWorkspace, int ofRoute) implements Comparable<Rank> {
    private static final Comparator<Rank> ORDER =
            Comparator.comparingInt(Rank::ofWorkspace).thenComparingInt(Rank::ofRoute);

    /** Engines know ten levels; so many of them belong to one priority of workspaces. */
    private static final int LEVELS_OF_ONE_WORKSPACE_PRIORITY = 3;

    private static final int LEAST_URGENT = 9;

    static Rank of(PlacementRequest request) {
        int ofRoute = request.route().priority();
        int ofWorkspace = request.workspace()
                .map(workspace -> workspace.priority().orElse(ofRoute))
                .orElse(ofRoute);
        return new Rank(ofWorkspace, ofRoute);
    }

    /** The level for an engine, 0 for the most urgent up to 9. */
    int urgency() {
        int within = Math.min(Math.max(0, ofRoute), LEVELS_OF_ONE_WORKSPACE_PRIORITY - 1);
        return Math.min(LEAST_URGENT, Math.max(0, ofWorkspace) * LEVELS_OF_ONE_WORKSPACE_PRIORITY + within);
    }

    @Override
    public int compareTo(Rank other) {
        return ORDER.compare(this, other);
    }
}

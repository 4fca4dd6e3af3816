package org.yuccagw.core.fairness;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The start tags of start-time fair queueing between flows that share one capacity.
 *
 * <p>The waiting flow with the lowest start tag is served next. Virtual time then advances to that tag, and the tag
 * increases by the cost of the request divided by the weight of the flow. The tag of a flow that begins to wait is at
 * least the virtual time, so a flow earns no credit while it is idle.
 *
 * <p>Invariant: two flows that always wait are served in proportion to their weights, to within one request each,
 * independently of the sizes of their requests.
 *
 * <p>Example: two flows of weight 1 send requests that cost 10. The many requests of the first have the tags 0, 10, 20
 * and so on. A request of the second that arrives at virtual time 10 gets the tag 10 and is served after at most one
 * other request, before hundreds that arrived earlier.
 *
 * @param <K> identifies a flow
 */
public final class FairShares<K> {
    private final Map<K, Double> startTags = new HashMap<>();
    private double virtualTime;

    private FairShares() {}

    /** Creates shares of which none has been used. */
    public static <K> FairShares<K> create() {
        return new FairShares<>();
    }

    /** Returns the start tag that a request of the flow gets if it begins to wait now. */
    public double startTag(K flow) {
        return Math.max(startTags.getOrDefault(flow, virtualTime), virtualTime);
    }

    /** Records that the flow begins to wait, or that its own limits block it, which earns no credit either. */
    public void catchUp(K flow) {
        startTags.put(flow, startTag(flow));
    }

    /** Returns the start tag of a flow that waits. */
    public double waitingTag(K flow) {
        return startTags.getOrDefault(flow, virtualTime);
    }

    /**
     * Records that a request of the flow is served.
     *
     * @param cost cost of the request, divided by the weight of the flow
     */
    public void serve(K flow, double cost) {
        double tag = waitingTag(flow);
        virtualTime = Math.max(virtualTime, tag);
        startTags.put(flow, tag + cost);
    }

    /** Returns whether the flow has a start tag of its own. */
    public boolean contains(K flow) {
        return startTags.containsKey(flow);
    }

    /** Removes the flows that don't wait and whose start tag is not ahead of the virtual time. */
    public void removeIdle(Predicate<K> waits) {
        startTags.entrySet().removeIf(each -> each.getValue() <= virtualTime && !waits.test(each.getKey()));
    }
}

package org.yuccagw.core.admission;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.yuccagw.core.id.WorkspaceId;

/**
 * The waiting requests of one service, in the order of start-time fair queueing between workspaces, and within each
 * workspace between request classes.
 *
 * <p>A flow is a workspace, or a request class of a workspace. Each flow has a start tag in virtual time. The
 * backlogged flow with the lowest start tag is served, virtual time advances to that tag, and the start tag of the flow
 * increases by the cost of the request divided by the weight of the flow. The start tag of a flow that becomes
 * backlogged is at least the virtual time, so a flow earns no credit while it is idle. Nor does it earn credit while
 * its own limits block it, since the start tag of a blocked flow follows the virtual time.
 *
 * <p>Two flows that are always backlogged are served in proportion to their weights, to within one request each,
 * independently of the sizes of their requests. The delay of a flow does not depend on the backlog of another flow.
 *
 * <p>Example: two workspaces of weight 1 send requests that cost 10. The many requests of the first workspace have the
 * tags 0, 10, 20 and so on. A request of the second workspace that arrives at virtual time 10 gets the tag 10 and is
 * served after at most one other request, before hundreds that arrived earlier.
 */
final class FairQueue {
    private final ToDoubleFunction<WorkspaceId> workspaceWeight;
    private final ToDoubleFunction<String> classWeight;
    private final LinkedHashMap<WorkspaceId, Flow> flows = new LinkedHashMap<>();
    private double virtualTime;
    private int size;

    FairQueue(ToDoubleFunction<WorkspaceId> workspaceWeight, ToDoubleFunction<String> classWeight) {
        this.workspaceWeight = workspaceWeight;
        this.classWeight = classWeight;
    }

    /** The start tag of a workspace, and the flows of its request classes, which have a virtual time of their own. */
    private static final class Flow {
        private final LinkedHashMap<String, ClassFlow> classes = new LinkedHashMap<>();
        private double startTag;
        private double virtualTime;
        private int size;
    }

    /** The waiting requests of one request class of a workspace. */
    private static final class ClassFlow {
        private final ArrayDeque<WaitingRequest> requests = new ArrayDeque<>();
        private double startTag;
    }

    void add(WaitingRequest request) {
        Flow flow = flows.computeIfAbsent(request.workspace(), name -> new Flow());
        if (flow.size == 0) {
            flow.startTag = Math.max(flow.startTag, virtualTime);
        }
        ClassFlow classFlow = flow.classes.computeIfAbsent(request.className(), name -> new ClassFlow());
        if (classFlow.requests.isEmpty()) {
            classFlow.startTag = Math.max(classFlow.startTag, flow.virtualTime);
        }
        classFlow.requests.add(request);
        flow.size++;
        size++;
    }

    /** Removes and returns the next request to serve from the workspaces that satisfy the predicate. */
    Optional<WaitingRequest> poll(Predicate<WorkspaceId> isEligible) {
        WorkspaceId chosen = null;
        Flow chosenFlow = null;
        for (Map.Entry<WorkspaceId, Flow> entry : flows.entrySet()) {
            Flow flow = entry.getValue();
            if (flow.size == 0) {
                continue;
            }
            if (!isEligible.test(entry.getKey())) {
                flow.startTag = Math.max(flow.startTag, virtualTime);
            } else if (chosenFlow == null || flow.startTag < chosenFlow.startTag) {
                chosen = entry.getKey();
                chosenFlow = flow;
            }
        }
        return chosenFlow == null ? Optional.empty() : Optional.of(dequeue(chosen, chosenFlow));
    }

    private WaitingRequest dequeue(WorkspaceId workspace, Flow flow) {
        ClassFlow lowest = null;
        String lowestName = "";
        for (Map.Entry<String, ClassFlow> entry : flow.classes.entrySet()) {
            boolean backlogged = !entry.getValue().requests.isEmpty();
            if (backlogged && (lowest == null || entry.getValue().startTag < lowest.startTag)) {
                lowest = entry.getValue();
                lowestName = entry.getKey();
            }
        }
        WaitingRequest served = lowest.requests.poll();
        flow.virtualTime = Math.max(flow.virtualTime, lowest.startTag);
        lowest.startTag += (double) served.costTokens() / classWeight.applyAsDouble(lowestName);
        virtualTime = Math.max(virtualTime, flow.startTag);
        flow.startTag += (double) served.costTokens() / workspaceWeight.applyAsDouble(workspace);
        flow.size--;
        size--;
        return served;
    }

    /** Removes a request without serving it. Returns false if it is not in the queue. */
    boolean remove(WaitingRequest request) {
        Flow flow = flows.get(request.workspace());
        ClassFlow classFlow = flow == null ? null : flow.classes.get(request.className());
        if (classFlow == null || !classFlow.requests.remove(request)) {
            return false;
        }
        flow.size--;
        size--;
        return true;
    }

    /**
     * Predicts how many requests would be served before a request of this workspace and class that arrives now, if no
     * other requests arrive.
     */
    double requestsAhead(WorkspaceId workspace, String className) {
        Flow own = flows.get(workspace);
        double before = own == null ? 0 : requestsAheadWithin(own, className);
        double weight = workspaceWeight.applyAsDouble(workspace);
        double requestsAhead = before;
        for (Map.Entry<WorkspaceId, Flow> other : flows.entrySet()) {
            if (!other.getKey().equals(workspace)) {
                double served = (before + 1) * workspaceWeight.applyAsDouble(other.getKey()) / weight;
                requestsAhead += Math.min(other.getValue().size, served);
            }
        }
        return requestsAhead;
    }

    private double requestsAheadWithin(Flow flow, String className) {
        ClassFlow own = flow.classes.get(className);
        double before = own == null ? 0 : own.requests.size();
        double weight = classWeight.applyAsDouble(className);
        double requestsAhead = before;
        for (Map.Entry<String, ClassFlow> other : flow.classes.entrySet()) {
            if (!other.getKey().equals(className)) {
                double served = (before + 1) * classWeight.applyAsDouble(other.getKey()) / weight;
                requestsAhead += Math.min(other.getValue().requests.size(), served);
            }
        }
        return requestsAhead;
    }

    List<WorkspaceId> waitingWorkspaces() {
        return flows.entrySet().stream()
                .filter(entry -> entry.getValue().size > 0)
                .map(Map.Entry::getKey)
                .toList();
    }

    int size() {
        return size;
    }

    int size(WorkspaceId workspace) {
        Flow flow = flows.get(workspace);
        return flow == null ? 0 : flow.size;
    }

    /** Removes the flows without waiting requests whose start tag is not ahead of the virtual time. */
    void removeIdleFlows() {
        flows.values().removeIf(flow -> flow.size == 0 && flow.startTag <= virtualTime);
    }
}

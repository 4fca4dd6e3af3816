package org.yuccagw.core.admission;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.yuccagw.core.fairness.FairShares;
import org.yuccagw.core.id.WorkspaceId;

/**
 * The waiting requests of one service, in the order of start-time fair queueing between workspaces, and within each
 * workspace between request classes.
 *
 * <p>A flow is a workspace, or a request class of a workspace. {@link FairShares} decides which flow is served next.
 * The delay of a flow does not depend on the backlog of another flow.
 */
final class FairQueue {
    private final ToDoubleFunction<WorkspaceId> workspaceWeight;
    private final ToDoubleFunction<String> classWeight;
    private final LinkedHashMap<WorkspaceId, Flow> flows = new LinkedHashMap<>();
    private final FairShares<WorkspaceId> workspaceShares = FairShares.create();
    private int size;

    FairQueue(ToDoubleFunction<WorkspaceId> workspaceWeight, ToDoubleFunction<String> classWeight) {
        this.workspaceWeight = workspaceWeight;
        this.classWeight = classWeight;
    }

    /** The waiting requests of a workspace by request class, which have shares of their own. */
    private static final class Flow {
        private final LinkedHashMap<String, ArrayDeque<WaitingRequest>> classes = new LinkedHashMap<>();
        private final FairShares<String> classShares = FairShares.create();
        private int size;
    }

    void add(WaitingRequest request) {
        Flow flow = flows.computeIfAbsent(request.workspace(), name -> new Flow());
        if (flow.size == 0) {
            workspaceShares.catchUp(request.workspace());
        }
        ArrayDeque<WaitingRequest> requests =
                flow.classes.computeIfAbsent(request.className(), name -> new ArrayDeque<>());
        if (requests.isEmpty()) {
            flow.classShares.catchUp(request.className());
        }
        requests.add(request);
        flow.size++;
        size++;
    }

    /** Removes and returns the next request to serve from the workspaces that satisfy the predicate. */
    Optional<WaitingRequest> poll(Predicate<WorkspaceId> isEligible) {
        WorkspaceId chosen = null;
        for (Map.Entry<WorkspaceId, Flow> entry : flows.entrySet()) {
            WorkspaceId workspace = entry.getKey();
            if (entry.getValue().size == 0) {
                continue;
            }
            if (!isEligible.test(workspace)) {
                workspaceShares.catchUp(workspace);
            } else if (chosen == null || workspaceShares.waitingTag(workspace) < workspaceShares.waitingTag(chosen)) {
                chosen = workspace;
            }
        }
        return Optional.ofNullable(chosen).map(workspace -> dequeue(workspace, flows.get(workspace)));
    }

    private WaitingRequest dequeue(WorkspaceId workspace, Flow flow) {
        String className = flow.classes.entrySet().stream()
                .filter(entry -> !entry.getValue().isEmpty())
                .map(Map.Entry::getKey)
                .min(Comparator.comparingDouble(flow.classShares::waitingTag))
                .orElseThrow();
        WaitingRequest served = flow.classes.get(className).poll();
        flow.classShares.serve(className, served.costTokens() / classWeight.applyAsDouble(className));
        workspaceShares.serve(workspace, served.costTokens() / workspaceWeight.applyAsDouble(workspace));
        flow.size--;
        size--;
        return served;
    }

    /** Removes a request without serving it. Returns false if it is not in the queue. */
    boolean remove(WaitingRequest request) {
        Flow flow = flows.get(request.workspace());
        ArrayDeque<WaitingRequest> requests = flow == null ? null : flow.classes.get(request.className());
        if (requests == null || !requests.remove(request)) {
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
        ArrayDeque<WaitingRequest> own = flow.classes.get(className);
        double before = own == null ? 0 : own.size();
        double weight = classWeight.applyAsDouble(className);
        double requestsAhead = before;
        for (Map.Entry<String, ArrayDeque<WaitingRequest>> other : flow.classes.entrySet()) {
            if (!other.getKey().equals(className)) {
                double served = (before + 1) * classWeight.applyAsDouble(other.getKey()) / weight;
                requestsAhead += Math.min(other.getValue().size(), served);
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
        workspaceShares.removeIdle(workspace -> size(workspace) > 0);
        flows.entrySet().removeIf(each -> each.getValue().size == 0 && !workspaceShares.contains(each.getKey()));
    }
}

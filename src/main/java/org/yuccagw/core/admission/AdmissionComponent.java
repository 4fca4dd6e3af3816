package org.yuccagw.core.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.yuccagw.core.admission.AdmissionRequested.Released;
import org.yuccagw.core.admission.AdmissionRequested.Withdrawn;
import org.yuccagw.core.catalogue.Catalogue;
import org.yuccagw.core.catalogue.CatalogueChanged;
import org.yuccagw.core.catalogue.RequestClass;
import org.yuccagw.core.catalogue.Workspace;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.ControlSnapshot;
import org.yuccagw.core.control.PeerReceived;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.WorkspaceId;
import org.yuccagw.core.membership.MembersChanged;
import org.yuccagw.core.shard.ShardAuthority;
import org.yuccagw.core.shard.ShardGained;
import org.yuccagw.core.shard.ShardLost;
import org.yuccagw.core.shard.ShardsSnapshot;

/**
 * Admits requests within the limits of workspaces and services over all entries, in fair order, and only if the first
 * token can be expected within its deadline.
 *
 * <p>A request is admitted immediately if its service has free capacity and an empty queue and if the shares of this
 * entry permit it. Otherwise its wait is predicted from the requests ahead of it in the fair queue and the mean run
 * time of requests. If the predicted wait exceeds the first-token deadline of its class, the request is refused
 * immediately with a delay after which a request would be admitted within the deadline. Otherwise it waits, but not
 * longer than the deadline.
 *
 * <p>{@link LimitShares} maintains the shares of the limits, and {@link FairQueue} the order of the waiting requests.
 */
public final class AdmissionComponent implements ControlComponent {
    private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(10);
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(100);
    private static final Duration LIMIT_RECHECK_INTERVAL = Duration.ofMillis(10);
    private static final int MAX_WAITING_PER_WORKSPACE = 2_000;
    /** Wait beyond the deadline that is assumed if the wait cannot be predicted. */
    private static final double UNKNOWN_WAIT_SECONDS = 1;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1e3;

    private final LimitShares shares;
    private final Map<ServiceName, ServiceGate> gates = new HashMap<>();
    private final Map<RequestId, WaitingRequest> waiting = new LinkedHashMap<>();
    private final Map<RequestId, Admitted> admitted = new HashMap<>();
    private Catalogue catalogue = Catalogue.empty();
    private ControlContext context;
    private boolean recheckScheduled;
    private long refusedCount;

    private AdmissionComponent(LimitShares shares) {
        this.shares = shares;
    }

    /**
     * Returns a component.
     *
     * @param authority verifies that the lease of a shard is still held immediately before a share of it is lent
     * @param shards local view of the owners of the shards, queried on the control thread
     */
    public static AdmissionComponent of(ShardAuthority authority, Supplier<ShardsSnapshot> shards) {
        return withSettlingTime(authority, shards, ShareLender.SETTLING_TIME);
    }

    /** Returns a component with another settling time, for tests. Daemons use {@link #of}. */
    static AdmissionComponent withSettlingTime(
            ShardAuthority authority, Supplier<ShardsSnapshot> shards, Duration settlingTime) {
        return new AdmissionComponent(new LimitShares(authority, shards, settlingTime));
    }

    /** A request that was admitted and has not ended. */
    private record Admitted(WaitingRequest request, long admittedNanos) {}

    @Override
    public void start(ControlContext startContext) {
        context = startContext;
        shares.start(context, this::dispatch);
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof AdmissionRequested requested) {
            handleRequest(requested);
        } else if (event instanceof Released released) {
            release(released.request(), released.usedTokens());
        } else if (event instanceof Withdrawn withdrawn) {
            withdraw(withdrawn.request());
        } else if (event instanceof CapacityChanged changed) {
            gate(changed.service()).setCapacity(changed.maxConcurrentRequests());
            dispatch();
        } else if (event instanceof PeerReceived received && received.message() instanceof SharePeerMessage message) {
            shares.receive(received.from(), message);
        } else if (event instanceof MembersChanged changed) {
            shares.handleMembers(changed.entries());
        } else if (event instanceof ShardGained gained) {
            shares.handleShardGained(gained);
        } else if (event instanceof ShardLost lost) {
            shares.handleShardLost(lost.shard());
        } else if (event instanceof CatalogueChanged changed) {
            catalogue = changed.catalogue();
            shares.setCatalogue(catalogue);
            dispatch();
        }
    }

    @Override
    public void contribute(ControlSnapshot.Builder snapshot) {
        snapshot.put(AdmissionSnapshot.class, new AdmissionSnapshot(admitted.size(), waiting.size(), refusedCount));
    }

    private ServiceGate gate(ServiceName service) {
        return gates.computeIfAbsent(service, name -> new ServiceGate(name, this::workspaceWeight, this::classWeight));
    }

    private double workspaceWeight(WorkspaceId workspace) {
        return catalogue.workspace(workspace).map(Workspace::weight).orElse(1.0);
    }

    private double classWeight(String className) {
        return catalogue.requestClass(className).map(RequestClass::weight).orElse(1.0);
    }

    private Duration deadline(String className) {
        return catalogue
                .requestClass(className)
                .map(RequestClass::firstTokenDeadline)
                .orElse(DEFAULT_DEADLINE);
    }

    private void handleRequest(AdmissionRequested requested) {
        WaitingRequest request = new WaitingRequest(requested, context.nowNanos());
        if (admitted.containsKey(requested.request()) || waiting.containsKey(requested.request())) {
            reply(
                    request,
                    Optional.of(ErrorKind.INTERNAL.raise("request " + requested.request() + " was let in before")));
            return;
        }
        ServiceGate gate = gate(requested.service());
        if (gate.queue().size() == 0 && gate.hasFreeCapacity() && shares.tryConsume(request)) {
            admit(request, gate);
            return;
        }
        Prediction prediction = predict(request);
        boolean queueFull = gate.queue().size(requested.workspace()) >= MAX_WAITING_PER_WORKSPACE;
        double deadlineSeconds = (double) deadline(requested.className()).toNanos() / NANOS_PER_SECOND;
        if (queueFull || prediction.seconds() > deadlineSeconds) {
            refuse(request, prediction);
            return;
        }
        enqueue(request, gate);
    }

    private void enqueue(WaitingRequest request, ServiceGate gate) {
        waiting.put(request.admission().request(), request);
        gate.queue().add(request);
        shares.addWaiting(request, 1);
        context.after(deadline(request.className()), () -> expire(request));
        dispatch();
    }

    /** Refuses a request that is still waiting at its deadline because the prediction of its wait was too short. */
    private void expire(WaitingRequest request) {
        if (request.equals(waiting.get(request.admission().request()))) {
            refuseWaiting(request);
        }
    }

    private void removeFromQueue(WaitingRequest request) {
        waiting.remove(request.admission().request());
        gate(request.service()).queue().remove(request);
        shares.addWaiting(request, -1);
    }

    /**
     * The predicted wait of a request that arrives now.
     *
     * @param limitBound whether the wait is caused by a limit rather than by the capacity of the service
     */
    private record Prediction(double seconds, boolean limitBound) {}

    private Prediction predict(WaitingRequest request) {
        ServiceGate gate = gate(request.service());
        double capacityWaitSeconds = gate.secondsUntilFreeCapacity(request.workspace(), request.className());
        double limitWaitSeconds = shares.secondsUntilAdmitted(request, gate);
        return new Prediction(Math.max(capacityWaitSeconds, limitWaitSeconds), limitWaitSeconds > capacityWaitSeconds);
    }

    private void refuse(WaitingRequest request, Prediction prediction) {
        refusedCount++;
        double deadlineSeconds = (double) deadline(request.className()).toNanos() / NANOS_PER_SECOND;
        double seconds =
                Double.isFinite(prediction.seconds()) ? prediction.seconds() : deadlineSeconds + UNKNOWN_WAIT_SECONDS;
        long retryAfterMillis =
                Math.max(MIN_RETRY_AFTER.toMillis(), (long) ((seconds - deadlineSeconds) * MILLIS_PER_SECOND));
        YuccagwException error = prediction.limitBound()
                ? ErrorKind.WORKSPACE_LIMIT.raise(request.workspace(), shares.describe(request))
                : ErrorKind.OVERLOADED.raise((long) (seconds * MILLIS_PER_SECOND));
        reply(request, Optional.of(error.withRetryAfter(Duration.ofMillis(retryAfterMillis))));
    }

    private void admit(WaitingRequest request, ServiceGate gate) {
        gate.admit(request.costTokens());
        admitted.put(request.admission().request(), new Admitted(request, context.nowNanos()));
        reply(request, Optional.empty());
    }

    private void reply(WaitingRequest request, Optional<YuccagwException> answer) {
        context.reply(() -> request.admission().reply().accept(answer));
    }

    private void release(RequestId id, long usedTokens) {
        Admitted ended = admitted.remove(id);
        if (ended == null) {
            return;
        }
        double runSeconds = (double) (context.nowNanos() - ended.admittedNanos()) / NANOS_PER_SECOND;
        gate(ended.request().service()).release(runSeconds);
        shares.release(ended.request(), usedTokens);
        dispatch();
    }

    /**
     * Handles a caller that disconnected. If the request was admitted but the reply has not reached the caller's thread
     * yet, the request counts as admitted and is released.
     */
    private void withdraw(RequestId id) {
        WaitingRequest request = waiting.get(id);
        if (request != null) {
            removeFromQueue(request);
        } else {
            release(id, 0);
        }
    }

    /** Admits all waiting requests that may run now. */
    private void dispatch() {
        boolean limitBound = false;
        for (ServiceGate gate : gates.values()) {
            limitBound |= dispatch(gate);
        }
        if (limitBound && !recheckScheduled) {
            recheckScheduled = true;
            context.after(LIMIT_RECHECK_INTERVAL, () -> {
                recheckScheduled = false;
                dispatch();
            });
        }
    }

    /** Requests a larger share. If the owner does not respond, refuses the requests that are waiting for the share. */
    private void requestShareOrRefuse(WorkspaceId workspace, ServiceName service) {
        shares.requestShareSoon(workspace, service);
        if (shares.isUnobtainable(workspace, service)) {
            waiting.values().stream()
                    .filter(request -> request.workspace().equals(workspace))
                    .filter(request -> request.service().equals(service))
                    .toList()
                    .forEach(this::refuseWaiting);
        }
    }

    private void refuseWaiting(WaitingRequest request) {
        removeFromQueue(request);
        refuse(request, predict(request));
    }

    /** Returns whether requests are waiting only because of their limits. */
    private boolean dispatch(ServiceGate gate) {
        while (gate.hasFreeCapacity() && gate.queue().size() > 0) {
            Optional<WaitingRequest> next = gate.queue().poll(workspace -> shares.permits(workspace, gate.service()));
            if (next.isEmpty()) {
                gate.queue().waitingWorkspaces().forEach(workspace -> requestShareOrRefuse(workspace, gate.service()));
                return gate.queue().size() > 0;
            }
            WaitingRequest request = next.get();
            waiting.remove(request.admission().request());
            shares.addWaiting(request, -1);
            shares.consume(request);
            admit(request, gate);
        }
        gate.queue().removeIdleFlows();
        return false;
    }
}

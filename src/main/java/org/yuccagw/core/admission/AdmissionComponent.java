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
 * Lets requests in: within the limits of workspaces and services over all entries, in fair order, and only if the
 * first token can be expected in time.
 *
 * <p>A request is let in at once if its service has a free place, nobody waits for one, and this entry's shares of
 * the limits have room. Otherwise its wait is predicted from what is ahead of it in the fair queue and from how long
 * requests hold their places. If that passes the class's first-token deadline, it is refused now, with the time after
 * which a request would be let in within the deadline; else it waits, at most until the deadline.
 *
 * <p>{@link LimitShares} keeps the shares, {@link FairQueue} the order.
 */
public final class AdmissionComponent implements ControlComponent {
    private static final Duration USUAL_DEADLINE = Duration.ofSeconds(10);
    private static final Duration LEAST_COME_BACK = Duration.ofMillis(100);
    private static final Duration LIMITED_RECHECK = Duration.ofMillis(10);
    private static final int MOST_WAITING_PER_WORKSPACE = 2_000;
    private static final double UNKNOWN_WAIT_SECONDS = 1;
    private static final double NANOS = 1e9;
    private static final double MILLIS = 1e3;

    private final LimitShares shares;
    private final Map<ServiceName, ServiceGate> gates = new HashMap<>();
    private final Map<RequestId, Waiting> waiting = new LinkedHashMap<>();
    private final Map<RequestId, Admitted> admitted = new HashMap<>();
    private Catalogue catalogue = Catalogue.empty();
    private ControlContext context;
    private boolean recheckSet;
    private long refused;

    private AdmissionComponent(LimitShares shares) {
        this.shares = shares;
    }

    /**
     * Makes the part.
     *
     * @param authority proves the lease right before a share is lent
     * @param shards who owns which shard, as far as this entry knows; asked on the control thread
     */
    public static AdmissionComponent of(ShardAuthority authority, Supplier<ShardsSnapshot> shards) {
        return withWaitOut(authority, shards, ShareLender.WAIT_OUT);
    }

    /** For the test that takes the waiting out of old shares away; daemons use {@link #of}. */
    static AdmissionComponent withWaitOut(ShardAuthority authority, Supplier<ShardsSnapshot> shards, Duration waitOut) {
        return new AdmissionComponent(new LimitShares(authority, shards, waitOut));
    }

    /** A request that was let in. */
    private record Admitted(Waiting request, long admittedNanos) {}

    @Override
    public void start(ControlContext startContext) {
        context = startContext;
        shares.start(context, this::dispatch);
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof AdmissionRequested requested) {
            asked(requested);
        } else if (event instanceof Released released) {
            released(released.request(), released.usedTokens());
        } else if (event instanceof Withdrawn withdrawn) {
            withdrawn(withdrawn.request());
        } else if (event instanceof CapacityChanged changed) {
            gate(changed.service()).capacity(changed.requestsAtOnce());
            dispatch();
        } else if (event instanceof PeerReceived received && received.message() instanceof SharePeerMessage message) {
            shares.receive(received.from(), message);
        } else if (event instanceof MembersChanged changed) {
            shares.members(changed.entries());
        } else if (event instanceof ShardGained gained) {
            shares.gained(gained);
        } else if (event instanceof ShardLost lost) {
            shares.lost(lost.shard());
        } else if (event instanceof CatalogueChanged changed) {
            catalogue = changed.catalogue();
            shares.catalogue(catalogue);
            dispatch();
        }
    }

    @Override
    public void contribute(ControlSnapshot.Builder snapshot) {
        snapshot.put(AdmissionSnapshot.class, new AdmissionSnapshot(admitted.size(), waiting.size(), refused));
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
                .orElse(USUAL_DEADLINE);
    }

    private void asked(AdmissionRequested requested) {
        Waiting request = new Waiting(requested, context.nowNanos());
        if (admitted.containsKey(requested.request()) || waiting.containsKey(requested.request())) {
            reply(
                    request,
                    Optional.of(ErrorKind.INTERNAL.raise("request " + requested.request() + " was let in before")));
            return;
        }
        ServiceGate gate = gate(requested.service());
        if (gate.queue().size() == 0 && gate.hasRoom() && shares.admit(request)) {
            admit(request, gate);
            return;
        }
        Prediction prediction = predict(request);
        boolean tooMany = gate.queue().size(requested.workspace()) >= MOST_WAITING_PER_WORKSPACE;
        double deadlineSeconds = (double) deadline(requested.className()).toNanos() / NANOS;
        if (tooMany || prediction.seconds() > deadlineSeconds) {
            refuse(request, prediction);
            return;
        }
        wait(request, gate);
    }

    private void wait(Waiting request, ServiceGate gate) {
        waiting.put(request.asked().request(), request);
        gate.queue().add(request);
        shares.waits(request, 1);
        context.after(deadline(request.className()), () -> expire(request));
        dispatch();
    }

    /** The prediction was wrong and the deadline is here: the final answer goes out now. */
    private void expire(Waiting request) {
        if (request.equals(waiting.get(request.asked().request()))) {
            giveUp(request);
        }
    }

    private void leaveQueue(Waiting request) {
        waiting.remove(request.asked().request());
        gate(request.service()).queue().remove(request);
        shares.waits(request, -1);
    }

    /**
     * How long a request that comes now would wait.
     *
     * @param byLimits whether a limit is what makes it wait, not the service's places
     */
    private record Prediction(double seconds, boolean byLimits) {}

    private Prediction predict(Waiting request) {
        ServiceGate gate = gate(request.service());
        double forRoom = gate.secondsUntilRoom(request.workspace(), request.className());
        double forLimits = shares.secondsUntilAdmits(request, gate);
        return new Prediction(Math.max(forRoom, forLimits), forLimits > forRoom);
    }

    private void refuse(Waiting request, Prediction prediction) {
        refused++;
        double deadlineSeconds = (double) deadline(request.className()).toNanos() / NANOS;
        double seconds =
                Double.isFinite(prediction.seconds()) ? prediction.seconds() : deadlineSeconds + UNKNOWN_WAIT_SECONDS;
        long comeBackMillis = Math.max(LEAST_COME_BACK.toMillis(), (long) ((seconds - deadlineSeconds) * MILLIS));
        YuccagwException error = prediction.byLimits()
                ? ErrorKind.WORKSPACE_LIMIT.raise(request.workspace(), shares.describe(request))
                : ErrorKind.OVERLOADED.raise((long) (seconds * MILLIS));
        reply(request, Optional.of(error.withRetryAfter(Duration.ofMillis(comeBackMillis))));
    }

    private void admit(Waiting request, ServiceGate gate) {
        gate.admit(request.cost());
        admitted.put(request.asked().request(), new Admitted(request, context.nowNanos()));
        reply(request, Optional.empty());
    }

    private void reply(Waiting request, Optional<YuccagwException> answer) {
        context.reply(() -> request.asked().reply().accept(answer));
    }

    private void released(RequestId id, long usedTokens) {
        Admitted ended = admitted.remove(id);
        if (ended == null) {
            return;
        }
        double held = (double) (context.nowNanos() - ended.admittedNanos()) / NANOS;
        gate(ended.request().service()).release(held);
        shares.release(ended.request(), usedTokens);
        dispatch();
    }

    /**
     * A caller that leaves while the answer "let in" is on its way to its thread has been let in: it ends at once.
     */
    private void withdrawn(RequestId id) {
        Waiting request = waiting.get(id);
        if (request != null) {
            leaveQueue(request);
        } else {
            released(id, 0);
        }
    }

    /** Lets in whatever may come in now. */
    private void dispatch() {
        boolean limited = false;
        for (ServiceGate gate : gates.values()) {
            limited |= dispatch(gate);
        }
        if (limited && !recheckSet) {
            recheckSet = true;
            context.after(LIMITED_RECHECK, () -> {
                recheckSet = false;
                dispatch();
            });
        }
    }

    /** Asks for a larger share; if nobody answers such asks, the requests that wait for one are refused now. */
    private void askOrGiveUp(WorkspaceId workspace, ServiceName service) {
        shares.askSoon(workspace, service);
        if (shares.isOutOfReach(workspace, service)) {
            waiting.values().stream()
                    .filter(request -> request.workspace().equals(workspace))
                    .filter(request -> request.service().equals(service))
                    .toList()
                    .forEach(this::giveUp);
        }
    }

    private void giveUp(Waiting request) {
        leaveQueue(request);
        refuse(request, predict(request));
    }

    /** True if requests wait for nothing but their limits. */
    private boolean dispatch(ServiceGate gate) {
        while (gate.hasRoom() && gate.queue().size() > 0) {
            Optional<Waiting> next = gate.queue().take(workspace -> shares.admits(workspace, gate.service()));
            if (next.isEmpty()) {
                gate.queue().waitingWorkspaces().forEach(workspace -> askOrGiveUp(workspace, gate.service()));
                return gate.queue().size() > 0;
            }
            Waiting request = next.get();
            waiting.remove(request.asked().request());
            shares.waits(request, -1);
            shares.take(request);
            admit(request, gate);
        }
        gate.queue().forgetIdle();
        return false;
    }
}

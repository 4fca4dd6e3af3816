package org.yuccagw.bench.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.ToIntBiFunction;
import org.yuccagw.core.control.ActionHandler;
import org.yuccagw.core.control.ControlAction;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.EntryIdentity;
import org.yuccagw.core.control.PeerReceived;
import org.yuccagw.core.endpoint.PlatformListed;
import org.yuccagw.core.endpoint.PlatformListed.ListedVm;
import org.yuccagw.core.endpoint.PlatformListed.VmKind;
import org.yuccagw.core.endpoint.ReadPlatformList;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.VmId;
import org.yuccagw.core.port.PeerMessage;

/**
 * Several control cores in one thread and virtual time, over an in-memory network that can be cut, an in-memory
 * key-value service, and a list of VMs. The same seed and calls give the same run.
 *
 * <p>Example:
 *
 * <pre>{@code
 * ControlBench bench = ControlBench.of(7);
 * BenchNode first = bench.start("entry-1", List.of(MembershipComponent.of(Readiness.always())));
 * BenchNode second = bench.start("entry-2", List.of(MembershipComponent.of(Readiness.always())));
 * bench.runFor(Duration.ofSeconds(5));
 * bench.cutOneWay(first, second);
 * }</pre>
 */
public final class ControlBench {
    private static final Duration NETWORK_DELAY = Duration.ofMillis(2);
    private static final int FIRST_PORT = 1024;
    private static final int PORTS = 60_000;

    private final VirtualTime time = VirtualTime.start();
    private final InMemoryKeyValue keyValue = InMemoryKeyValue.of(time);
    private final Map<EntryId, BenchNode> nodes = new TreeMap<>();
    private final Set<Link> cuts = new HashSet<>();
    private final List<ActionHandler> handlers = new ArrayList<>();
    private final List<ListedVm> vms = new ArrayList<>();
    private final long seed;
    private ToIntBiFunction<EntryIdentity, PeerMessage> size = (from, message) -> 0;
    private int started;
    private long wallStepMillis;

    private ControlBench(long seed) {
        this.seed = seed;
    }

    public static ControlBench of(long seed) {
        return new ControlBench(seed);
    }

    private record Link(EntryId from, EntryId to) {}

    public VirtualTime time() {
        return time;
    }

    public InMemoryKeyValue keyValue() {
        return keyValue;
    }

    /** Nodes by name; of a restarted one the latest. */
    public Collection<BenchNode> nodes() {
        return nodes.values();
    }

    /** Starts a process of an entry; one of the same name must have been killed before. */
    public BenchNode start(String name, List<ControlComponent> components) {
        return start(name, FailureDomain.of("ulemiste"), components);
    }

    public BenchNode start(String name, FailureDomain domain, List<ControlComponent> components) {
        started++;
        int port = FIRST_PORT + (3 * started) % PORTS;
        EntryIdentity identity = new EntryIdentity(
                EntryId.of(name),
                time.wallMillis() + wallStepMillis + started,
                domain,
                NetworkAddress.of("127.0.0.1", port),
                NetworkAddress.of("127.0.0.1", port + 1),
                NetworkAddress.of("127.0.0.1", port + 2));
        BenchNode node = new BenchNode(this, identity, seed * 1_000_003 + started, components);
        nodes.put(identity.entry(), node);
        node.start();
        return node;
    }

    public void runFor(Duration duration) {
        time.runFor(duration);
    }

    public boolean runUntil(BooleanSupplier condition, Duration limit) {
        return time.runUntil(condition, limit);
    }

    /** Sets the time of day of the VMs, on which incarnations of later starts are made. */
    public void stepWallClock(Duration step) {
        wallStepMillis += step.toMillis();
    }

    // ---- Network.

    /** Messages from one to the other vanish; those the other way pass. */
    public void cutOneWay(BenchNode from, BenchNode to) {
        cuts.add(new Link(from.entry(), to.entry()));
    }

    public void cut(BenchNode one, BenchNode other) {
        cutOneWay(one, other);
        cutOneWay(other, one);
    }

    public void cutFromAll(BenchNode node) {
        nodes.values().forEach(other -> cut(node, other));
    }

    public void healNetwork() {
        cuts.clear();
    }

    /** How large a message is on the wire, for {@link BenchNode#bytesSent}. */
    public void measureBytes(ToIntBiFunction<EntryIdentity, PeerMessage> encodedBytes) {
        size = encodedBytes;
    }

    int sizeOf(BenchNode from, PeerMessage message) {
        return size.applyAsInt(from.identity(), message);
    }

    void deliver(BenchNode from, EntryId to, PeerMessage message) {
        time.after(NETWORK_DELAY, () -> {
            BenchNode receiver = nodes.get(to);
            boolean arrives = receiver != null && !cuts.contains(new Link(from.entry(), to));
            if (arrives) {
                receiver.offer(new PeerReceived(from.entry(), message));
            }
        });
    }

    // ---- Platform.

    /** Handlers are asked in the order in which they were added, then the bench itself answers the list of VMs. */
    public void onAction(ActionHandler handler) {
        handlers.add(handler);
    }

    /** The list of VMs beside the entries, which are always listed while they run. */
    public List<ListedVm> vms() {
        return vms;
    }

    void perform(BenchNode node, ControlAction action) {
        for (ActionHandler handler : handlers) {
            if (handler.perform(action, node)) {
                return;
            }
        }
        if (action instanceof ReadPlatformList) {
            time.after(NETWORK_DELAY, () -> node.offer(list()));
        }
    }

    private PlatformListed list() {
        List<ListedVm> listed = new ArrayList<>(vms);
        for (BenchNode node : nodes.values()) {
            if (!node.isDead()) {
                EntryIdentity identity = node.identity();
                listed.add(new ListedVm(
                        VmId.of("vm-" + identity.entry()),
                        identity.incarnation(),
                        false,
                        VmKind.ENTRY,
                        identity.entry().value(),
                        "",
                        identity.domain(),
                        identity.peerAddress()));
            }
        }
        return new PlatformListed(listed);
    }

    /** The node of this name, if one was ever started. */
    public Optional<BenchNode> node(String name) {
        return Optional.ofNullable(nodes.get(EntryId.of(name)));
    }
}

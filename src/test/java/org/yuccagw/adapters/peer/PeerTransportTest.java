package org.yuccagw.adapters.peer;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertTrue;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.core.control.EntryIdentity;
import org.yuccagw.core.control.PeerReceived;
import org.yuccagw.core.follow.FollowMessage;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.faults.RawServer;
import org.yuccagw.standins.platform.SmallDeployment;

public class PeerTransportTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    /** Well below the time after which a sender replaces a connection that is silent. */
    private static final Duration ANSWER_LIMIT = Duration.ofMillis(500);

    private static final PeerCodec CODEC = PeerCodec.of(List.of(FollowCodec.create()));
    private static final EntryId LIVING = EntryId.of("living");
    private static final EntryId RESTARTED = EntryId.of("restarted");

    private final List<PeerTransport> transports = new ArrayList<>();

    @AfterMethod(alwaysRun = true)
    public void stopAll() {
        transports.forEach(PeerTransport::stop);
        transports.clear();
    }

    // Guards against answers that an entry sends into its connection to the earlier process of one that has restarted.
    @Test
    public void anEntryThatRestartedUnderTheSameAddressIsAnsweredAtOnce() throws Exception {
        List<Integer> ports = SmallDeployment.freePorts(2);
        NetworkAddress living = NetworkAddress.of("127.0.0.1", ports.get(0));
        NetworkAddress restarted = NetworkAddress.of("127.0.0.1", ports.get(1));
        Map<EntryId, NetworkAddress> addresses = Map.of(LIVING, living, RESTARTED, restarted);
        BlockingQueue<PeerReceived> receivedByLiving = new LinkedBlockingQueue<>();
        PeerTransport livingTransport = start(LIVING, 1, living, addresses, receivedByLiving);

        try (Socket silent = connectToSilentProcess(livingTransport, living, restarted, receivedByLiving)) {
            assertTrue(silent.isConnected());
            BlockingQueue<PeerReceived> received = new LinkedBlockingQueue<>();
            PeerTransport secondStart = start(RESTARTED, 2, restarted, addresses, received);
            secondStart.send(LIVING, new FollowMessage.ChangesRequest(7));
            assertTrue(receivedByLiving.poll(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS) != null);
            livingTransport.send(RESTARTED, new FollowMessage.StillStarting());
            PeerReceived answer = received.poll(ANSWER_LIMIT.toMillis(), TimeUnit.MILLISECONDS);
            assertTrue(answer != null, "no answer within " + ANSWER_LIMIT);
        }
    }

    // Guards against answers that wait for a connection to the address that an entry had before it was replaced.
    @Test
    public void anEntryThatMovedIsAnsweredWhileItsEarlierAddressAcceptsNoConnection() throws Exception {
        List<Integer> ports = SmallDeployment.freePorts(3);
        NetworkAddress living = NetworkAddress.of("127.0.0.1", ports.get(0));
        NetworkAddress earlier = NetworkAddress.of("127.0.0.1", ports.get(1));
        NetworkAddress later = NetworkAddress.of("127.0.0.1", ports.get(2));
        Map<EntryId, NetworkAddress> addresses = new ConcurrentHashMap<>(Map.of(LIVING, living, RESTARTED, earlier));
        PeerTransport livingTransport = start(LIVING, 1, living, addresses, new LinkedBlockingQueue<>());

        try (FullListener listener = FullListener.at(earlier)) {
            assertTrue(listener.isOpen());
            livingTransport.send(RESTARTED, new FollowMessage.StillStarting());
            BlockingQueue<PeerReceived> received = new LinkedBlockingQueue<>();
            start(RESTARTED, 2, later, addresses, received);
            addresses.put(RESTARTED, later);
            livingTransport.send(RESTARTED, new FollowMessage.StillStarting());
            PeerReceived answer = received.poll(ANSWER_LIMIT.toMillis(), TimeUnit.MILLISECONDS);
            assertTrue(answer != null, "no answer within " + ANSWER_LIMIT);
        }
    }

    @DataProvider
    public static Object[][] acknowledgements() {
        return new Object[][] {
            {"no number", new byte[] {0, 0, 0, 1, 7}},
            {"negative number", new byte[] {0, 0, 0, 8, -1, -1, -1, -1, -1, -1, -1, -1}},
            {"more than was sent", new byte[] {0, 0, 0, 8, 0, 0, 0, 0, 0, 0, 0, 9}},
            {"frame beyond the limit", new byte[] {127, 0, 0, 0}}
        };
    }

    // Guards against a connection that counts as alive by an acknowledgement that can't be read.
    @Test(dataProvider = "acknowledgements")
    public void anImpossibleAcknowledgementEndsItsConnection(String name, byte[] acknowledgement) throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        try (RawServer peer = RawServer.start(socket -> {
            DataInputStream input = new DataInputStream(socket.getInputStream());
            input.readNBytes(input.readInt());
            socket.getOutputStream().write(acknowledgement);
            if (input.read() < 0) {
                closed.countDown();
            }
        })) {
            NetworkAddress own =
                    NetworkAddress.of("127.0.0.1", SmallDeployment.freePorts(1).get(0));
            PeerTransport transport =
                    start(LIVING, 1, own, Map.of(RESTARTED, peer.address()), new LinkedBlockingQueue<>());
            transport.send(RESTARTED, new FollowMessage.StillStarting());
            assertTrue(closed.await(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS), name);
        }
    }

    /** A listener whose queue of new connections is full, so that further ones are neither accepted nor refused. */
    private record FullListener(ServerSocket listener, List<Socket> queued) implements AutoCloseable {
        private static final int QUEUED = 3;

        static FullListener at(NetworkAddress address) throws IOException {
            ServerSocket listener = new ServerSocket();
            listener.bind(new InetSocketAddress(address.host(), address.port()), 1);
            List<Socket> queued = new ArrayList<>();
            for (int index = 0; index < QUEUED; index++) {
                Socket socket = new Socket();
                queued.add(socket);
                try {
                    socket.connect(new InetSocketAddress(address.host(), address.port()), 100);
                } catch (SocketTimeoutException full) {
                    break;
                }
            }
            return new FullListener(listener, queued);
        }

        boolean isOpen() {
            return !listener.isClosed();
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket socket : queued) {
                socket.close();
            }
        }
    }

    /**
     * Lets the transport exchange messages with a first process, which reads no more from then on and whose end no
     * packet will show.
     */
    private static Socket connectToSilentProcess(
            PeerTransport transport, NetworkAddress own, NetworkAddress address, BlockingQueue<PeerReceived> received)
            throws Exception {
        try (ServerSocket listener = new ServerSocket();
                Socket sender = new Socket(own.host(), own.port())) {
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(address.host(), address.port()));
            byte[] message = CODEC.encode(identity(RESTARTED, 1, address), new FollowMessage.ChangesRequest(1));
            DataOutputStream output = new DataOutputStream(sender.getOutputStream());
            output.writeInt(message.length);
            output.write(message);
            output.flush();
            assertTrue(received.poll(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS) != null);
            transport.send(RESTARTED, new FollowMessage.ChangesRequest(1));
            return listener.accept();
        }
    }

    private PeerTransport start(
            EntryId entry,
            long incarnation,
            NetworkAddress address,
            Map<EntryId, NetworkAddress> addresses,
            BlockingQueue<PeerReceived> received) {
        PeerTransport transport = PeerTransport.of(
                identity(entry, incarnation, address),
                CODEC,
                to -> Optional.ofNullable(addresses.get(to)),
                received::add,
                PeerTransport.PeerSecurity.none());
        await().atMost(TIMEOUT).until(() -> hasStarted(transport));
        transports.add(transport);
        return transport;
    }

    private static EntryIdentity identity(EntryId entry, long incarnation, NetworkAddress address) {
        return new EntryIdentity(entry, incarnation, FailureDomain.of("a"), address, address, address);
    }

    private static boolean hasStarted(PeerTransport transport) {
        try {
            transport.start();
            return true;
        } catch (IOException addressStillInUse) {
            return false;
        }
    }
}

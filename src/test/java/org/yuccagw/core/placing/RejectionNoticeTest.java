package org.yuccagw.core.placing;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlCore;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.EntryIdentity;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.SoftwareVersion;
import org.yuccagw.core.port.PeerMessage;

public class RejectionNoticeTest {
    private static final NetworkAddress ADDRESS = NetworkAddress.of("127.0.0.1", 9);
    private static final FailureDomain DOMAIN = FailureDomain.of("a");

    private record NoticeArrived() implements ControlEvent {}

    @DataProvider
    public Object[][] clocks() {
        return new Object[][] {{Duration.ofHours(-1)}, {Duration.ZERO}, {Duration.ofHours(1)}};
    }

    // Guards against entries that don't hear of a limit because the clock of the one that does began below zero.
    @Test(dataProvider = "clocks")
    public void theFirstNoticeIsReportedAtOnceWhereverTheMonotonicClockBegins(Duration clock) {
        List<PeerMessage> reports = new ArrayList<>();
        ControlCore core = ControlCore.of(identity(), new SplittableRandom(1), List.of(limitsReportingTo(reports)));
        core.start(clock.toNanos(), 0);
        core.handle(new NoticeArrived(), clock.toNanos(), 0);
        core.handle(new NoticeArrived(), clock.plusMillis(500).toNanos(), 500);
        assertEquals(reports.size(), 1);
        core.handle(new NoticeArrived(), clock.plusMillis(1_000).toNanos(), 1_000);
        assertEquals(reports.size(), 2);
    }

    private static ControlComponent limitsReportingTo(List<PeerMessage> reports) {
        RejectionLimits limits = new RejectionLimits(new SingleEntryFleet(reports));
        return new ControlComponent() {
            @Override
            public void start(ControlContext context) {
                limits.start(context);
            }

            @Override
            public void handle(ControlEvent event, ControlContext context) {
                limits.recordNotice(endpoint(), 5);
            }
        };
    }

    private static EndpointState endpoint() {
        ListedEndpoint listed = new ListedEndpoint(
                EndpointIncarnation.of(EndpointId.of("engine"), 1),
                ServiceName.of("engines"),
                ADDRESS,
                DOMAIN,
                SoftwareVersion.of("v1"),
                6,
                false,
                0,
                ImmutableMap.of(),
                0);
        return new EndpointState(listed, 0);
    }

    private static EntryIdentity identity() {
        return new EntryIdentity(EntryId.of("entry"), 1, DOMAIN, ADDRESS, ADDRESS, ADDRESS);
    }

    /** A fleet that records what is sent to the other entries. */
    private record SingleEntryFleet(List<PeerMessage> sent) implements PlacementComponent.Fleet {
        @Override
        public int placingEntryCount() {
            return 1;
        }

        @Override
        public boolean isPlacingEntry(EntryId entry) {
            return true;
        }

        @Override
        public double retryShare(Duration window) {
            return 1;
        }

        @Override
        public int coldShareCount(FailureDomain domain) {
            return 1;
        }

        @Override
        public Optional<EntryId> roomOwner(ListedEndpoint endpoint) {
            return Optional.of(EntryId.of("entry"));
        }

        @Override
        public void sendToAllPlacers(PeerMessage message) {
            sent.add(message);
        }

        @Override
        public void sendToFollowers(PeerMessage message) {
            // No entry follows.
        }

        @Override
        public void sendToPlacersFor(FailureDomain domain, PeerMessage message) {
            sent.add(message);
        }
    }
}

package org.yuccagw.adapters.peer;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.SoftwareVersion;
import org.yuccagw.core.id.WorkspaceId;
import org.yuccagw.core.placing.AnswerPace;
import org.yuccagw.core.placing.AttemptEnded;
import org.yuccagw.core.placing.PlacementMessage;
import org.yuccagw.core.placing.PlacementRequest;
import org.yuccagw.core.prompt.PromptPart;
import org.yuccagw.core.prompt.PromptShape;
import org.yuccagw.core.stores.CachePlan;
import org.yuccagw.wire.PeerProtocol.Envelope;

public class PlacementCodecTest {
    private static final EndpointIncarnation ENGINE = EndpointIncarnation.of(EndpointId.of("engine-1"), 1_000);
    private static final NetworkAddress STORE = NetworkAddress.of("10.1.0.9", 8_080);

    @DataProvider
    public Object[][] messages() {
        CachePlan plan = new CachePlan(
                ImmutableList.of(Optional.of(new CachePlan.Source(STORE, 2_000)), Optional.empty()),
                ImmutableList.of(Optional.empty(), Optional.of(STORE)),
                77_000);
        return new Object[][] {
            {
                request(
                        Optional.of(prompt()),
                        Optional.of(WorkspaceId.of("alpha")),
                        OptionalLong.of(3),
                        Optional.of(SoftwareVersion.of("v1.2")))
            },
            {request(Optional.empty(), Optional.empty(), OptionalLong.empty(), Optional.empty())},
            {placed(OptionalLong.of(2), Optional.of("salt"), Optional.of(plan))},
            {placed(OptionalLong.empty(), Optional.empty(), Optional.empty())},
            {new PlacementMessage.Refused(4, ErrorKind.OVERLOADED, "wait", Optional.of(Duration.ofMillis(300)))},
            {new PlacementMessage.Refused(4, ErrorKind.NO_ENDPOINT, "none", Optional.empty())},
            {new PlacementMessage.Waiting(5)},
            {new PlacementMessage.Undecided(6)},
            {new PlacementMessage.Begun(7)},
            {new PlacementMessage.Dropped(10)},
            {
                new PlacementMessage.Ended(
                        8,
                        AttemptEnded.End.ANSWERED,
                        OptionalLong.of(2),
                        Optional.of(new AnswerPace(7, 80, 173, 410)),
                        AttemptEnded.Success.PROVEN)
            },
            {
                new PlacementMessage.Ended(
                        9,
                        AttemptEnded.End.UNREACHED,
                        OptionalLong.empty(),
                        Optional.empty(),
                        AttemptEnded.Success.NONE)
            }
        };
    }

    private static PromptShape prompt() {
        return new PromptShape(
                "model", 9_000, 17, ImmutableList.of(new PromptPart("5c1e", 7_500), new PromptPart("91bd", 1_500)));
    }

    private static PlacementMessage request(
            Optional<PromptShape> prompt,
            Optional<WorkspaceId> workspace,
            OptionalLong weights,
            Optional<SoftwareVersion> software) {
        return new PlacementMessage.Ask(
                1,
                RequestId.of("9c41"),
                "route",
                ServiceName.of("engines"),
                workspace,
                prompt,
                "fingerprint",
                ImmutableSet.of(EndpointId.of("engine-2")),
                PlacementRequest.Kind.REPEAT,
                weights,
                software,
                4_900);
    }

    private static PlacementMessage placed(OptionalLong version, Optional<String> salt, Optional<CachePlan> cache) {
        return new PlacementMessage.Placed(2, ENGINE, version, salt, cache, 4, 180, 9_017, 1_500, false);
    }

    @Test(dataProvider = "messages")
    public void decodesWhatItEncoded(PlacementMessage message) {
        PlacementCodec codec = PlacementCodec.create();
        Envelope.Builder envelope = Envelope.newBuilder();
        codec.encode(message, envelope);
        assertEquals(codec.decode(envelope.build()), Optional.of(message));
    }
}

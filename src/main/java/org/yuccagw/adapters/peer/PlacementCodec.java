package org.yuccagw.adapters.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.SoftwareVersion;
import org.yuccagw.core.id.WorkspaceId;
import org.yuccagw.core.placing.AnswerPace;
import org.yuccagw.core.placing.AttemptEnded;
import org.yuccagw.core.placing.PlacementMessage;
import org.yuccagw.core.placing.PlacementRequest;
import org.yuccagw.core.port.PeerMessage;
import org.yuccagw.core.prompt.PromptPart;
import org.yuccagw.core.prompt.PromptShape;
import org.yuccagw.core.stores.CachePlan;
import org.yuccagw.wire.PeerProtocol;
import org.yuccagw.wire.PeerProtocol.AnswerPaceMessage;
import org.yuccagw.wire.PeerProtocol.CachePlanMessage;
import org.yuccagw.wire.PeerProtocol.CacheSourceMessage;
import org.yuccagw.wire.PeerProtocol.Envelope;
import org.yuccagw.wire.PeerProtocol.PlacedMessage;
import org.yuccagw.wire.PeerProtocol.PlacementAskMessage;
import org.yuccagw.wire.PeerProtocol.PlacementEndedMessage;
import org.yuccagw.wire.PeerProtocol.PlacementRefusedMessage;
import org.yuccagw.wire.PeerProtocol.PromptMessage;
import org.yuccagw.wire.PeerProtocol.PromptPartMessage;

/** Encodes the messages between an entry and its lead about the placement of one attempt in protobuf. */
public final class PlacementCodec implements BodyCodec {
    /** Tokens in the element of a prompt part that isn't fetched from a store. */
    private static final int NOT_FETCHED_TOKENS = 0;

    private PlacementCodec() {}

    public static PlacementCodec create() {
        return new PlacementCodec();
    }

    @Override
    public boolean encode(PeerMessage message, Envelope.Builder envelope) {
        if (!(message instanceof PlacementMessage placement)) {
            return false;
        }
        PeerProtocol.PlacementMessage.Builder wire =
                PeerProtocol.PlacementMessage.newBuilder().setNumber(placement.number());
        if (placement instanceof PlacementMessage.Ask request) {
            wire.setAsk(encode(request));
        } else if (placement instanceof PlacementMessage.Placed placed) {
            wire.setPlaced(encode(placed));
        } else if (placement instanceof PlacementMessage.Refused refused) {
            wire.setRefused(PlacementRefusedMessage.newBuilder()
                    .setKind(refused.kind().name())
                    .setMessage(refused.message())
                    .setRetryAfterMillis(
                            refused.retryAfter().orElse(Duration.ZERO).toMillis()));
        } else if (placement instanceof PlacementMessage.Ended ended) {
            wire.setEnded(encode(ended));
        } else if (placement instanceof PlacementMessage.Waiting) {
            wire.setWaiting(true);
        } else if (placement instanceof PlacementMessage.Begun) {
            wire.setBegun(true);
        } else if (placement instanceof PlacementMessage.Undecided) {
            wire.setUndecided(true);
        } else if (placement instanceof PlacementMessage.Dropped) {
            wire.setDropped(true);
        }
        envelope.setPlacement(wire);
        return true;
    }

    private static PlacementEndedMessage encode(PlacementMessage.Ended ended) {
        PlacementEndedMessage.Builder wire = PlacementEndedMessage.newBuilder()
                .setEnd(ended.end().name())
                .setVersion(ended.version().orElse(0))
                .setSuccess(ended.success().name());
        ended.pace()
                .ifPresent(pace -> wire.setPace(AnswerPaceMessage.newBuilder()
                        .setEvents(pace.events())
                        .setFirstEventMillis(pace.firstEventMillis())
                        .setMeanGapMillis(pace.meanGapMillis())
                        .setLongestGapMillis(pace.longestGapMillis())));
        return wire.build();
    }

    private static PlacementAskMessage encode(PlacementMessage.Ask request) {
        PlacementAskMessage.Builder wire = PlacementAskMessage.newBuilder()
                .setRequest(request.request().value())
                .setRoute(request.route())
                .setService(request.service().value())
                .setWorkspace(request.workspace().map(WorkspaceId::value).orElse(""))
                .setFingerprint(request.fingerprint())
                .setKind(request.kind().name())
                .setPinned(request.weights().orElse(0))
                .setSoftware(request.software().map(SoftwareVersion::value).orElse(""))
                .setLeftMillis(request.leftMillis());
        request.prompt().ifPresent(prompt -> wire.setPrompt(encode(prompt)));
        request.excluded().forEach(endpoint -> wire.addExcluded(endpoint.value()));
        return wire.build();
    }

    private static PromptMessage encode(PromptShape prompt) {
        PromptMessage.Builder wire = PromptMessage.newBuilder()
                .setModel(prompt.model())
                .setPromptTokens(prompt.promptTokens())
                .setAnswerTokens(prompt.answerTokens());
        prompt.parts()
                .forEach(part -> wire.addParts(
                        PromptPartMessage.newBuilder().setId(part.id()).setTokens(part.tokens())));
        return wire.build();
    }

    private static PlacedMessage encode(PlacementMessage.Placed placed) {
        PlacedMessage.Builder wire = PlacedMessage.newBuilder()
                .setEndpoint(EndpointStarts.encode(placed.endpoint()))
                .setWithVersion(placed.version().isPresent())
                .setVersion(placed.version().orElse(0))
                .setWithSalt(placed.salt().isPresent())
                .setSalt(placed.salt().orElse(""))
                .setUrgency(placed.urgency())
                .setFirstByteMillis(placed.firstByteMillis())
                .setTokens(placed.tokens())
                .setUnreadTokens(placed.unreadTokens())
                .setRateLimited(placed.rateLimited());
        placed.cache().ifPresent(plan -> wire.setCache(encode(plan)));
        return wire.build();
    }

    private static CachePlanMessage encode(CachePlan plan) {
        CachePlanMessage.Builder wire = CachePlanMessage.newBuilder().setUntilMillis(plan.fetchDeadlineMillis());
        for (Optional<CachePlan.Source> fetch : plan.fetches()) {
            wire.addFetches(CacheSourceMessage.newBuilder()
                    .setStore(fetch.map(source -> source.store().toString()).orElse(""))
                    .setTokens(fetch.map(CachePlan.Source::tokens).orElse(NOT_FETCHED_TOKENS)));
        }
        plan.saves()
                .forEach(
                        save -> wire.addSaves(save.map(NetworkAddress::toString).orElse("")));
        return wire.build();
    }

    @Override
    public Optional<PeerMessage> decode(Envelope envelope) {
        if (!envelope.hasPlacement()) {
            return Optional.empty();
        }
        PeerProtocol.PlacementMessage wire = envelope.getPlacement();
        long number = wire.getNumber();
        return switch (wire.getStepCase()) {
            case ASK -> Optional.of(decode(number, wire.getAsk()));
            case WAITING -> Optional.of(new PlacementMessage.Waiting(number));
            case PLACED -> Optional.of(decode(number, wire.getPlaced()));
            case REFUSED -> Optional.of(decode(number, wire.getRefused()));
            case BEGUN -> Optional.of(new PlacementMessage.Begun(number));
            case ENDED -> Optional.of(decode(number, wire.getEnded()));
            case UNDECIDED -> Optional.of(new PlacementMessage.Undecided(number));
            case DROPPED -> Optional.of(new PlacementMessage.Dropped(number));
            case STEP_NOT_SET -> Optional.empty();
        };
    }

    private static PlacementMessage decode(long number, PlacementEndedMessage wire) {
        return new PlacementMessage.Ended(
                number,
                AttemptEnded.End.valueOf(wire.getEnd()),
                positive(wire.getVersion()),
                wire.hasPace() ? Optional.of(decode(wire.getPace())) : Optional.empty(),
                successOf(wire));
    }

    /** Entries of an earlier release don't state whether an answer was whole. */
    private static AttemptEnded.Success successOf(PlacementEndedMessage wire) {
        if (!wire.getSuccess().isEmpty()) {
            return AttemptEnded.Success.valueOf(wire.getSuccess());
        }
        boolean answered = AttemptEnded.End.valueOf(wire.getEnd()) == AttemptEnded.End.ANSWERED;
        return answered ? AttemptEnded.Success.UNPROVEN : AttemptEnded.Success.NONE;
    }

    private static AnswerPace decode(AnswerPaceMessage wire) {
        return new AnswerPace(
                Math.max(1, wire.getEvents()),
                Math.max(0, wire.getFirstEventMillis()),
                Math.max(0, wire.getMeanGapMillis()),
                Math.max(0, wire.getLongestGapMillis()));
    }

    private static PlacementMessage decode(long number, PlacementAskMessage wire) {
        return new PlacementMessage.Ask(
                number,
                RequestId.of(wire.getRequest()),
                wire.getRoute(),
                ServiceName.of(wire.getService()),
                wire.getWorkspace().isEmpty() ? Optional.empty() : Optional.of(WorkspaceId.of(wire.getWorkspace())),
                wire.hasPrompt() ? Optional.of(decode(wire.getPrompt())) : Optional.empty(),
                wire.getFingerprint(),
                wire.getExcludedList().stream().map(EndpointId::of).collect(ImmutableSet.toImmutableSet()),
                PlacementRequest.Kind.valueOf(wire.getKind()),
                positive(wire.getPinned()),
                wire.getSoftware().isEmpty() ? Optional.empty() : Optional.of(SoftwareVersion.of(wire.getSoftware())),
                wire.getLeftMillis());
    }

    private static PromptShape decode(PromptMessage wire) {
        return new PromptShape(
                wire.getModel(),
                wire.getPromptTokens(),
                wire.getAnswerTokens(),
                wire.getPartsList().stream()
                        .map(part -> new PromptPart(part.getId(), part.getTokens()))
                        .collect(ImmutableList.toImmutableList()));
    }

    private static PlacementMessage decode(long number, PlacedMessage wire) {
        return new PlacementMessage.Placed(
                number,
                EndpointStarts.decode(wire.getEndpoint()),
                wire.getWithVersion() ? OptionalLong.of(wire.getVersion()) : OptionalLong.empty(),
                wire.getWithSalt() ? Optional.of(wire.getSalt()) : Optional.empty(),
                wire.hasCache() ? Optional.of(decode(wire.getCache())) : Optional.empty(),
                wire.getUrgency(),
                wire.getFirstByteMillis(),
                wire.getTokens(),
                wire.getUnreadTokens(),
                wire.getRateLimited());
    }

    private static CachePlan decode(CachePlanMessage wire) {
        return new CachePlan(
                wire.getFetchesList().stream()
                        .map(fetch ->
                                address(fetch.getStore()).map(store -> new CachePlan.Source(store, fetch.getTokens())))
                        .collect(ImmutableList.toImmutableList()),
                wire.getSavesList().stream().map(PlacementCodec::address).collect(ImmutableList.toImmutableList()),
                wire.getUntilMillis());
    }

    private static PlacementMessage decode(long number, PlacementRefusedMessage wire) {
        return new PlacementMessage.Refused(
                number,
                ErrorKind.valueOf(wire.getKind()),
                wire.getMessage(),
                positive(wire.getRetryAfterMillis()).stream()
                        .mapToObj(Duration::ofMillis)
                        .findFirst());
    }

    private static Optional<NetworkAddress> address(String text) {
        return text.isEmpty() ? Optional.empty() : Optional.of(NetworkAddress.parse(text));
    }

    private static OptionalLong positive(long value) {
        return value > 0 ? OptionalLong.of(value) : OptionalLong.empty();
    }
}

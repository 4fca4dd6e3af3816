package org.yuccagw.core.stores;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.bench.control.ControlBench;
import org.yuccagw.core.control.ControlAction;
import org.yuccagw.core.control.ControlInput;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.deployment.BackEndService;
import org.yuccagw.core.deployment.ColdTraits;
import org.yuccagw.core.deployment.Deployment;
import org.yuccagw.core.deployment.EngineTraits;
import org.yuccagw.core.deployment.RequestLimits;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.follow.ConfigurationComponent;
import org.yuccagw.core.follow.KeyValueRecord;
import org.yuccagw.core.follow.KeyValueRecordRemoved;
import org.yuccagw.core.follow.KeyValueRecordUpdated;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.SoftwareVersion;
import org.yuccagw.core.prompt.PromptPart;
import org.yuccagw.core.prompt.PromptShape;
import org.yuccagw.core.ratelimit.NoPeers;

public class EngineCachesComponentTest {
    private static final String SALT = "s.1";
    private static final PromptShape PROMPT = new PromptShape(
            "model",
            7_700,
            50,
            ImmutableList.of(
                    new PromptPart("common", 2_500), new PromptPart("session", 5_000), new PromptPart("own", 200)));

    private ControlBench bench;
    private BenchNode entry;
    private EngineCachesComponent caches;
    private List<StoreAnswer.Change> pending;
    private Set<String> polledHolders;
    private boolean eventsLost;

    @BeforeMethod
    public void startEntry() {
        bench = ControlBench.of(3);
        pending = new ArrayList<>();
        polledHolders = new HashSet<>();
        eventsLost = false;
        bench.onAction(this::perform);
        caches = EngineCachesComponent.of(() -> List.of(EntryId.of("entry-1")), NoPeers.unlimitedCalls());
        entry = bench.start("entry-1", FailureDomain.of("near"), List.of(caches));
        entry.offer(new ConfigurationComponent.Applied(deployment()));
        entry.offer(listed(engine("near", 1)));
        bench.runFor(Duration.ofSeconds(1));
    }

    @Test
    public void onlyAnUnbrokenSequenceOfPartsFromTheBeginningOfThePromptCountsAsHeld() {
        reportPart(true, "session", 5_000);
        assertEquals(heldPartCount(1), Optional.of(0));
        reportPart(true, "common", 2_500);
        assertEquals(heldPartCount(1), Optional.of(2));
        reportPart(false, "common", 0);
        assertEquals(heldPartCount(1), Optional.of(0));
    }

    @Test
    public void aPartWithEvictedBlocksDoesNotCountAsHeld() {
        reportPart(true, "common", 2_496);
        assertEquals(heldPartCount(1), Optional.of(0));
    }

    // An engine restarts and loses its memory. A prompt that is sent there because the engine held its session is
    // computed whole, behind a queue whose length was underestimated.
    @Test
    public void theContentsOfAnEngineAreDroppedWhenItRestarts() {
        reportPart(true, "common", 2_500);
        entry.offer(listed(engine("near", 2)));
        bench.runFor(Duration.ofSeconds(1));
        assertEquals(heldPartCount(2), Optional.of(0));
        assertEquals(heldPartCount(1), Optional.empty());
    }

    @Test
    public void afterLostEventsAnEngineCountsAsHoldingNothingUntilItReportsParts() {
        reportPart(true, "common", 2_500);
        eventsLost = true;
        bench.runFor(Duration.ofSeconds(1));
        eventsLost = false;
        bench.runFor(Duration.ofSeconds(1));
        assertEquals(heldPartCount(1), Optional.of(0));
        reportPart(true, "common", 2_500);
        assertEquals(heldPartCount(1), Optional.of(1));
    }

    @Test
    public void anEngineThatIsNotListedAnyMoreIsNotFollowed() {
        entry.offer(new KeyValueRecordRemoved(
                new KeyValueRecord.Subject.EndpointSubject(EndpointId.of("engine-near")), 9, false));
        bench.runFor(Duration.ofSeconds(1));
        assertEquals(heldPartCount(1), Optional.empty());
    }

    // If every entry followed every engine, the events would be half of all bytes between failure domains.
    @Test
    public void enginesOfOtherFailureDomainsAreNotFollowedWhileThereAreLocalOnes() {
        entry.offer(listed(engine("far", 1)));
        bench.runFor(Duration.ofSeconds(1));
        assertFalse(polledHolders.contains("engine-far@1"), polledHolders.toString());
    }

    private Optional<Integer> heldPartCount(long startedMillis) {
        return caches.heldPartCount(engine("near", startedMillis), PROMPT, SALT);
    }

    private void reportPart(boolean held, String part, int tokens) {
        pending.add(new StoreAnswer.Change(held, SALT, part, tokens, "model"));
        bench.runFor(Duration.ofMillis(600));
    }

    private boolean perform(ControlAction action, ControlInput input) {
        if (action instanceof StoreCall.PollChanges poll) {
            polledHolders.add(poll.store().id().value());
            bench.time().after(Duration.ofMillis(100), () -> {
                ImmutableList<StoreAnswer.Change> changes = ImmutableList.copyOf(pending);
                pending.clear();
                input.offer(new StoreAnswer.Changes(poll.store().id(), 1, 1, eventsLost, 1_000, changes));
            });
            return true;
        }
        return action instanceof Decision;
    }

    private static KeyValueRecordUpdated listed(ListedEndpoint endpoint) {
        return new KeyValueRecordUpdated(new KeyValueRecord.EndpointListed(endpoint), 1, false);
    }

    private static ListedEndpoint engine(String domain, long startedMillis) {
        return new ListedEndpoint(
                EndpointIncarnation.of(EndpointId.of("engine-" + domain), startedMillis),
                ServiceName.of("engines"),
                NetworkAddress.of("127.0.0.1", 1),
                FailureDomain.of(domain),
                SoftwareVersion.of("v1"),
                8,
                false,
                0,
                ImmutableMap.of("model", 1L),
                0);
    }

    private static Deployment deployment() {
        EngineTraits engine = new EngineTraits(8, 50_000, 100_000, 1_000, 12, ImmutableList.of("model"));
        return Deployment.of(
                1,
                List.of(),
                List.of(new BackEndService(
                        ServiceName.of("engines"), Optional.of(engine), 100, "", ColdTraits.NEVER_COLD)),
                List.of(),
                Optional.empty(),
                new RequestLimits(1, 1, Duration.ofSeconds(1), Duration.ofSeconds(1)));
    }
}

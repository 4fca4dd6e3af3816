package org.yuccagw.core.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.core.cache.BlockKey;
import org.yuccagw.core.cache.CacheSettings;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.WeightVersion;
import org.yuccagw.core.routing.RouteRequested.Answer;
import org.yuccagw.core.routing.RouteRequested.Question;

public class RouteComponentTest {
    @DataProvider
    public Object[] policies() {
        return RoutePolicies.names().toArray();
    }

    @Test(dataProvider = "policies")
    public void everyPolicyChoosesOnlyEndpointsThatTakeNewWork(String policy) {
        CacheCore core = CacheCore.of(CacheSettings.defaults(), policy);
        core.catalogue("v2");
        core.endpoint(0, "v1", false);
        core.endpoint(1, "v2", false);
        core.endpoint(2, "v2", true);
        for (int i = 0; i < 20; i++) {
            assertEquals(core.route(CacheCore.prompt("p" + i, 10)).endpoint().id(), CacheCore.endpointId(2));
        }
    }

    // The catalogue names new weights while every replica still runs the old ones, then while one of four runs the new
    // ones. Users would be refused at first, and then all wait for the first replica. Cause: only replicas of the
    // version in the catalogue were candidates. Old ones must serve on until their turn, without blocks of the new one.
    @Test(dataProvider = "policies")
    public void duringASwapEachVersionTakesItsPartOfNewRequests(String policy) {
        CacheCore core = CacheCore.of(CacheSettings.defaults(), policy);
        core.catalogue("v2");
        core.endpoints(3, "v1");
        Answer.Chosen before = core.route(CacheCore.prompt("first", 10));
        assertEquals(before.endpoint().version(), Optional.of(WeightVersion.of("v1")));
        assertTrue(before.importFirst().isEmpty());
        core.endpoint(3, "v2", true);
        int ofNew = 0;
        for (int i = 0; i < 200; i++) {
            Answer.Chosen chosen = core.route(CacheCore.prompt("p" + i, 10));
            boolean isNew = chosen.endpoint().id().equals(CacheCore.endpointId(3));
            ofNew += isNew ? 1 : 0;
        }
        assertTrue(ofNew >= 30 && ofNew <= 75, ofNew + " of 200 on one of four replicas");
    }

    @Test(dataProvider = "policies")
    public void everyPolicyPassesOverExcludedEndpoints(String policy) {
        CacheCore core = CacheCore.of(CacheSettings.defaults(), policy);
        core.catalogue("v1");
        core.endpoints(2, "v1");
        Question first = core.question(CacheCore.prompt("p", 10));
        Question again = excluding(first, ImmutableSet.of(CacheCore.endpointId(0)));
        assertEquals(((Answer.Chosen) core.ask(again)).endpoint().id(), CacheCore.endpointId(1));
        Question neither = excluding(first, ImmutableSet.of(CacheCore.endpointId(0), CacheCore.endpointId(1)));
        assertEquals(refusal(core.ask(neither)), ErrorKind.NO_ENDPOINT);
    }

    @Test
    public void anUnknownServiceIsRefused() {
        CacheCore core = CacheCore.usual(1);
        Question question = core.question(CacheCore.prompt("p", 1));
        Question unknown = new Question(
                question.request(),
                question.workspace(),
                ServiceName.of("absent"),
                question.className(),
                Optional.empty(),
                question.blocks(),
                1,
                1,
                ImmutableSet.of(),
                false);
        assertEquals(refusal(core.ask(unknown)), ErrorKind.UNKNOWN_MODEL);
    }

    @Test
    public void aRunThatGoesOnKeepsItsVersionOrIsToldThatItIsGone() {
        CacheCore core = CacheCore.usual(2);
        core.endpoint(2, "v0", true);
        Question question = core.question(CacheCore.prompt("p", 4));
        assertEquals(
                ((Answer.Chosen) core.ask(onVersion(question, "v0"))).endpoint().id(), CacheCore.endpointId(2));
        assertEquals(refusal(core.ask(onVersion(question, "v9"))), ErrorKind.VERSION_GONE);
    }

    @Test
    public void aPromptReturnsToTheReplicaThatHoldsIt() {
        CacheCore core = CacheCore.usual(13);
        List<BlockKey> preamble = CacheCore.prompt("notebook", 60);
        EndpointId first =
                core.serve(CacheCore.extended(preamble, "q1", 2)).endpoint().id();
        for (int i = 2; i < 10; i++) {
            core.pass(Duration.ofSeconds(20));
            Answer.Chosen again = core.serve(CacheCore.extended(preamble, "q" + i, 2));
            assertEquals(again.endpoint().id(), first);
            assertTrue(again.explanation().candidates().get(0).recomputedTokens() < 4 * CacheCore.BLOCK_TOKENS);
        }
    }

    @Test
    public void aLongQueueSendsAPromptToAnotherReplica() {
        CacheCore core = CacheCore.usual(4);
        List<BlockKey> preamble = CacheCore.prompt("notebook", 8);
        EndpointId warm = core.serve(preamble).endpoint().id();
        Set<EndpointId> used = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            used.add(core.route(CacheCore.extended(preamble, "q" + i, 60))
                    .endpoint()
                    .id());
        }
        assertTrue(used.contains(warm));
        assertEquals(used.size(), 4);
    }

    @Test
    public void newPromptsSpreadOverThePool() {
        CacheCore core = CacheCore.usual(13);
        Set<EndpointId> used = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            used.add(core.serve(CacheCore.prompt("prompt" + i, 20)).endpoint().id());
        }
        assertEquals(used.size(), 13);
    }

    @Test
    public void aSuspectPromptRunsAlone() {
        CacheCore core = CacheCore.usual(2);
        Answer.Chosen running = core.route(CacheCore.prompt("p", 4));
        Question question = core.question(CacheCore.prompt("suspect", 4));
        Question alone = alone(question);
        Answer.Chosen placed = (Answer.Chosen) core.ask(alone);
        assertNotEquals(placed.endpoint().id(), running.endpoint().id());
        assertEquals(
                core.route(CacheCore.prompt("other", 4)).endpoint().id(),
                running.endpoint().id());
        assertEquals(refusal(core.ask(alone(question))), ErrorKind.NO_ENDPOINT);
        core.handle(new AttemptReport.Ended(placed.attempt(), true, 0, 1));
        assertTrue(core.ask(alone(question)) instanceof Answer.Chosen);
    }

    @Test
    public void theSameEventsGiveTheSameChoices() {
        assertEquals(choices(), choices());
    }

    @Test
    public void manyEndpointsAreWeighedByAFew() {
        CacheCore core = CacheCore.usual(1_250);
        List<BlockKey> preamble = CacheCore.prompt("notebook", 60);
        EndpointId first = core.serve(preamble).endpoint().id();
        Answer.Chosen again = core.serve(CacheCore.extended(preamble, "q", 1));
        assertEquals(again.endpoint().id(), first);
        assertFalse(again.explanation().candidates().size() > 5);
    }

    private static ImmutableList<EndpointId> choices() {
        CacheCore core = CacheCore.usual(40);
        ImmutableList.Builder<EndpointId> chosen = ImmutableList.builder();
        for (int i = 0; i < 50; i++) {
            chosen.add(core.serve(CacheCore.prompt("p" + i % 20, 20)).endpoint().id());
        }
        return chosen.build();
    }

    private static ErrorKind refusal(Answer answer) {
        return ((Answer.Refused) answer).error().kind();
    }

    private static Question excluding(Question question, ImmutableSet<EndpointId> excluded) {
        return changed(question, question.version(), excluded, false);
    }

    private static Question onVersion(Question question, String version) {
        return changed(question, Optional.of(WeightVersion.of(version)), question.excluded(), false);
    }

    private static Question alone(Question question) {
        return changed(question, question.version(), question.excluded(), true);
    }

    private static Question changed(
            Question question, Optional<WeightVersion> version, ImmutableSet<EndpointId> excluded, boolean alone) {
        return new Question(
                question.request(),
                question.workspace(),
                question.service(),
                question.className(),
                version,
                question.blocks(),
                question.promptTokens(),
                question.answerTokens(),
                excluded,
                alone);
    }
}

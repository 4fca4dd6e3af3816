package org.yuccagw.core.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableSet;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccagw.adapters.engine.CompletionBody;
import org.yuccagw.bench.requests.VirtualEntries;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.ShardNumber;
import org.yuccagw.core.id.WorkspaceId;
import org.yuccagw.core.quarantine.QuarantineRequested.Decision;
import org.yuccagw.core.suspect.PromptAnswered;
import org.yuccagw.core.suspect.SuspectPart;

/** Guards against prompts that share a section which terminates endpoints, on the product's own request path. */
public class CrashingSectionTest {
    private static final int ENTRIES = 4;
    private static final Duration DECISION_TIME = Duration.ofSeconds(4);
    private static final Duration BETWEEN_CRASHES = Duration.ofMillis(800);

    private VirtualEntries entries;
    private List<EntryId> entryIds;
    private int prompts;
    private int engines;

    @BeforeMethod
    public void startEntries() {
        entries = VirtualEntries.of(5, 1, QuarantineTest::components);
        entryIds = IntStream.rangeClosed(1, ENTRIES)
                .mapToObj(number -> entries.start("entry-" + number))
                .toList();
        entries.own(ShardNumber.of(0), entryIds.get(ENTRIES - 1));
        entries.tellMembers();
        entries.run(Duration.ofSeconds(8));
    }

    @Test
    public void promptsWithTheSectionAreRefusedEverywhereAfterThreeTerminations() throws YuccagwException {
        crash("cell 1", "bad cell");
        answer("cell 1");
        crash("cell 2", "bad cell");
        answer("cell 2");
        crash("cell 3", "bad cell");
        entries.run(BETWEEN_CRASHES);
        for (EntryId entry : entryIds) {
            assertRefused(decide(entry, "cell 4", "bad cell"));
        }
    }

    @Test
    public void promptsThatShareTheOtherSectionsRun() throws YuccagwException {
        for (int count = 0; count < 3; count++) {
            crash("preamble", "cell 1", "bad cell");
            answer("preamble", "cell 1");
        }
        entries.run(BETWEEN_CRASHES);
        assertRefused(decide(entryIds.get(0), "preamble", "bad cell"));
        for (EntryId entry : entryIds) {
            assertTrue(decide(entry, "preamble", "cell 1") instanceof Decision.Unrestricted);
        }
    }

    @Test
    public void aProcessThatHasStartedRefusesTheSection() throws YuccagwException {
        for (int count = 0; count < 3; count++) {
            crash("preamble", "bad cell");
            answer("preamble");
        }
        entries.run(BETWEEN_CRASHES);
        entries.kill(entryIds.get(0));
        entries.run(Duration.ofMillis(500));
        entries.start(entryIds.get(0).value());
        entries.tellMembers();
        assertRefused(decide(entryIds.get(0), "preamble", "bad cell"));
    }

    @Test
    public void anAnswerClearsASectionThatIsRefused() throws YuccagwException {
        for (int count = 0; count < 3; count++) {
            crash("preamble", "cell 1");
            answer("preamble");
        }
        entries.run(BETWEEN_CRASHES);
        assertRefused(decide(entryIds.get(1), "preamble", "cell 1"));
        answer("preamble", "cell 1");
        entries.run(Duration.ofMillis(300));
        for (EntryId entry : entryIds) {
            assertTrue(decide(entry, "preamble", "cell 1") instanceof Decision.Unrestricted);
        }
    }

    @Test
    public void sectionsAreTheSameInAChatAndInAPlainPrompt() throws YuccagwException {
        String chat = "{\"model\":\"m\",\"messages\":[{\"role\":\"system\",\"content\":\"a\"},"
                + "{\"role\":\"user\",\"content\":\"b\\n\\nown\"}]}";
        CompletionBody chatBody = CompletionBody.read(chat.getBytes(StandardCharsets.UTF_8), true);
        assertEquals(chatBody.sharedParts(), body("a", "b").sharedParts());
    }

    private void crash(String... sections) throws YuccagwException {
        CompletionBody body = body(sections);
        EntryId entry = entryIds.get(prompts % ENTRIES);
        entries.tell(entry, QuarantineTest.terminated(fingerprint(), body.sharedParts(), "engine-" + engines++));
        entries.run(BETWEEN_CRASHES);
    }

    private void answer(String... sections) throws YuccagwException {
        entries.tell(
                entryIds.get(prompts % ENTRIES),
                new PromptAnswered(body(sections).sharedParts()));
        entries.run(Duration.ofMillis(10));
    }

    private Decision decide(EntryId entry, String... sections) throws YuccagwException {
        ImmutableSet<SuspectPart> parts = body(sections).sharedParts();
        List<Decision> decisions = new ArrayList<>();
        entries.tell(entry, new QuarantineRequested(fingerprint(), parts, decisions::add));
        entries.run(DECISION_TIME);
        assertEquals(decisions.size(), 1);
        return decisions.get(0);
    }

    private static void assertRefused(Decision decision) {
        assertTrue(decision instanceof Decision.Refused, decision.toString());
        assertEquals(((Decision.Refused) decision).error().kind(), ErrorKind.QUARANTINED);
    }

    private PromptFingerprint fingerprint() {
        byte[] bytes = ("prompt " + prompts++).getBytes(StandardCharsets.UTF_8);
        return PromptFingerprint.of(WorkspaceId.of("statistics"), bytes);
    }

    private CompletionBody body(String... sections) throws YuccagwException {
        String prompt = String.join("\\n\\n", sections) + "\\n\\nown " + prompts;
        String json = "{\"model\":\"m\",\"prompt\":\"" + prompt + "\"}";
        return CompletionBody.read(json.getBytes(StandardCharsets.UTF_8), false);
    }
}

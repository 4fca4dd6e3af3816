package org.yuccagw.adapters.decisions;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.base.Splitter;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.testng.annotations.Test;

public class DecisionLogReadingTest {
    private static final List<DecisionLine> LOG = read(
            "entry-2 2026-06-25T18:41:09,000+0000 INFO  decisions    event=\"dependency-lost\" dependency=\"store a\"",
            "entry-1 2026-06-25T18:41:08,900+0000 INFO  decisions    event=\"endpoint-avoided\" endpoint=\"i-1\"",
            "entry-1 2026-06-25T18:41:08,950+0000 INFO  decisions    event=\"endpoint-avoided\" endpoint=\"i-9\"",
            "entry-1 2026-06-25T18:41:10,138+0000 INFO  decisions    event=\"refused\" reason=\"wait too long\""
                    + " request=\"r1\"",
            "entry-1 2026-06-25T18:41:09,138+0000 INFO  decisions    event=\"placed\" endpoint=\"i-1\" request=\"r1\"",
            "entry-1 2026-06-25T18:41:10,139+0000 INFO  decisions    event=\"ended\" first_byte_ms=\"-1\""
                    + " outcome=\"overloaded\" request=\"r1\"",
            "entry-2 2026-06-25T18:41:09,139+0000 INFO  decisions    event=\"placed\" endpoint=\"i-1\" request=\"r2\"",
            "entry-2 2026-06-25T18:41:10,150+0000 INFO  decisions    event=\"ended\" first_byte_ms=\"40\""
                    + " outcome=\"answered 200\" request=\"r2\"",
            "not a decision at all");

    private static List<DecisionLine> read(String... lines) {
        return List.of(lines).stream()
                .map(line -> DecisionLine.parse(line, "file.log"))
                .flatMap(Optional::stream)
                .toList();
    }

    @Test
    public void parsesEntryTimeAndFields() {
        DecisionLine line = LOG.get(0);
        assertEquals(line.entry(), "entry-2");
        assertEquals(line.time().toString(), "2026-06-25T18:41:09Z");
        assertEquals(line.field("dependency"), "store a");
        assertEquals(line.text(), "dependency-lost dependency=store a");
    }

    @Test
    public void aLineWithoutAnEntryBelongsToItsFile() {
        String line = "2026-06-25T18:41:09,000+0000 INFO  decisions    event=\"ready\"";
        assertEquals(DecisionLine.parse(line, "file.log").orElseThrow().entry(), "file.log");
    }

    // Guards against ordering lines by the time of their writing: the first lines of an entry are written three seconds
    // late, so a request would seem to be answered before it was placed.
    @Test
    public void aDelayedLineHasTheTimeOfItsDecision() {
        String line = "2026-06-25T18:41:09,000+0000 INFO  decisions    event=\"started\" delayed_ms=\"2916\"";
        assertEquals(DecisionLine.parse(line, "x").orElseThrow().time().toString(), "2026-06-25T18:41:06.084Z");
    }

    @Test
    public void theTimelineOfARequestIsOrderedAndContainsTheStateOfItsEndpoints() {
        String text = RequestTimeline.of("r1", LOG).text();
        assertTrue(text.indexOf("endpoint-avoided endpoint=i-1") < text.indexOf("placed"), text);
        assertTrue(text.indexOf("placed") < text.indexOf("refused"), text);
        assertTrue(text.indexOf("refused") < text.indexOf("outcome=overloaded"), text);
        assertFalse(text.contains("i-9"), text);
        assertFalse(text.contains("r2"), text);
        assertFalse(text.contains("store a"), text);
        assertTrue(RequestTimeline.of("r2", LOG).text().contains("store a"));
    }

    @Test
    public void anUnknownRequestHasAnEmptyTimeline() {
        assertFalse(RequestTimeline.of("r3", LOG).isKnown());
    }

    @Test
    public void countsOutcomesAndRefusalsAndTheTimeToTheFirstByte() {
        LogSummary summary = LogSummary.of(LOG);
        assertEquals(summary.outcomes().toString(), "{answered 200=1, overloaded=1}");
        assertEquals(summary.refusals().toString(), "{wait too long=1}");
        assertEquals(summary.seconds(), List.of(new LogSummary.Second(0, 1, 40, 40)));
    }

    @Test
    public void joinsThePlacementAndTheEndOfAPrompt() {
        List<DecisionLine> lines = Stream.of(
                        "00,000 placed p1 waited_ms=40 shared_tokens=1000 fetch_tokens=500 read_tokens=450",
                        "00,900 ended p1 first_byte_ms=340",
                        "03,000 placed p2 waited_ms=0 shared_tokens=1000 fetch_tokens=0 read_tokens=1200",
                        "04,000 placed plain prompt_tokens=0")
                .map(DecisionLogReadingTest::promptLine)
                .toList();
        PromptSummary summary = PromptSummary.of(lines);
        PromptSummary.Group first = summary.byInterval().get(0L);
        assertEquals(first.waitedMillis(50), 40);
        assertEquals(first.firstByteMillis(50), 300);
        assertEquals(first.heldShare(), 0.25);
        assertEquals(first.fetchedShare(), 0.5);
        assertEquals(first.prefilledShare(), 0.25);
        assertEquals(summary.byInterval().get(2L).prefilledShare(), 1.0);
        assertEquals(summary.byRoute().keySet().toString(), "[draft]");
        assertEquals(summary.byRoute().get("draft").prompts(), 2);
    }

    /**
     * Builds a line of the route {@code draft} from its second, event, request id and further fields. Prompts have
     * 1,200 tokens, unless a field says otherwise.
     */
    private static DecisionLine promptLine(String text) {
        List<String> words = Splitter.on(' ').splitToList(text);
        StringBuilder line =
                new StringBuilder("2026-06-25T18:41:" + words.get(0) + "+0000 INFO decisions route=\"draft\"");
        line.append(" event=\"")
                .append(words.get(1))
                .append("\" request=\"")
                .append(words.get(2))
                .append('"');
        line.append(" prompt_tokens=\"1200\"");
        for (int index = 3; index < words.size(); index++) {
            line.append(' ').append(words.get(index).replace("=", "=\"")).append('"');
        }
        return DecisionLine.parse(line.toString(), "entry-1").orElseThrow();
    }
}

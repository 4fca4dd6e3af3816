package org.yuccagw.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.standins.http.StandInJson;

/** A parsed SSE stream of an answer, for tests only. */
public final class SseText {
    private static final String ID = "id: ";
    private static final String DATA = "data: ";

    private final StringBuilder text = new StringBuilder();
    private final List<Integer> ids = new ArrayList<>();
    private JsonNode usage = StandInJson.object();
    private boolean whole;

    private SseText() {}

    public static SseText of(HttpResponse answer) {
        return of(answer.text());
    }

    /** Parses the complete lines of a stream; a last line without a newline is ignored. */
    public static SseText of(String stream) {
        SseText parsed = new SseText();
        int end = stream.lastIndexOf('\n');
        if (end > 0) {
            stream.substring(0, end).lines().forEach(parsed::parseLine);
        }
        return parsed;
    }

    public String text() {
        return text.toString();
    }

    public List<Integer> ids() {
        return ids;
    }

    public int lastId() {
        return ids.isEmpty() ? 0 : ids.get(ids.size() - 1);
    }

    public JsonNode usage() {
        return usage;
    }

    /** Returns whether the end marker has been received. */
    public boolean isWhole() {
        return whole;
    }

    private void parseLine(String line) {
        if (line.startsWith(ID)) {
            ids.add(Integer.parseInt(line.substring(ID.length())));
        } else if (line.equals(DATA + "[DONE]")) {
            whole = true;
        } else if (line.startsWith(DATA)) {
            parseData(StandInJson.parse(line.substring(DATA.length()).getBytes(StandardCharsets.UTF_8)));
        }
    }

    private void parseData(JsonNode chunk) {
        JsonNode choice = chunk.path("choices").path(0);
        text.append(
                choice.path("text").asText(choice.path("delta").path("content").asText("")));
        if (chunk.has("usage")) {
            usage = chunk.path("usage");
        }
    }
}

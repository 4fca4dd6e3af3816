package org.yuccagw.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.standins.http.StandInJson;

/** A streamed answer taken apart; for tests only. */
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

    /** Reads the whole lines; a last line without its end is left out. */
    public static SseText of(String stream) {
        SseText read = new SseText();
        int end = stream.lastIndexOf('\n');
        if (end > 0) {
            stream.substring(0, end).lines().forEach(read::line);
        }
        return read;
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

    /** Whether the end mark came. */
    public boolean isWhole() {
        return whole;
    }

    private void line(String line) {
        if (line.startsWith(ID)) {
            ids.add(Integer.parseInt(line.substring(ID.length())));
        } else if (line.equals(DATA + "[DONE]")) {
            whole = true;
        } else if (line.startsWith(DATA)) {
            data(StandInJson.parse(line.substring(DATA.length()).getBytes(StandardCharsets.UTF_8)));
        }
    }

    private void data(JsonNode chunk) {
        JsonNode choice = chunk.path("choices").path(0);
        text.append(
                choice.path("text").asText(choice.path("delta").path("content").asText("")));
        if (chunk.has("usage")) {
            usage = chunk.path("usage");
        }
    }
}

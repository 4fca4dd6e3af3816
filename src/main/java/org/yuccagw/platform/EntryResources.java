package org.yuccagw.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import org.yuccagw.adapters.http.JsonText;
import org.yuccagw.core.fleet.EntryContact;

/** What callers and the platform ask of an entry itself. */
final class EntryResources {
    private EntryResources() {}

    static boolean isReadiness(String path) {
        return path.equals(PlatformNames.READY_PATH);
    }

    static boolean isDirectory(String path) {
        return path.equals(PlatformNames.RESOLVE_PATH);
    }

    /** The query parameter with the failure domain of a caller of the directory. */
    static String domainParameter() {
        return "zone";
    }

    /** The directory's answer: where to connect, and for how long that may be kept. */
    static String directory(List<EntryContact> entries, Duration timeToLive) {
        ObjectNode answer = JsonText.object();
        ArrayNode addresses = answer.putArray("addresses");
        entries.forEach(entry -> addresses.add(entry.callers().toString()));
        answer.put("ttlS", timeToLive.toMillis() / 1_000.0);
        return JsonText.write(answer);
    }
}

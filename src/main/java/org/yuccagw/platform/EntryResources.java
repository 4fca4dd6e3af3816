package org.yuccagw.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import org.yuccagw.adapters.http.JsonText;
import org.yuccagw.core.fleet.EntryContact;

/** Paths and bodies of the requests that an entry answers itself: the readiness check and the directory. */
final class EntryResources {
    private EntryResources() {}

    static boolean isReadinessPath(String path) {
        return path.equals(PlatformNames.READY_PATH);
    }

    static boolean isDirectoryPath(String path) {
        return path.equals(PlatformNames.RESOLVE_PATH);
    }

    /** Returns the name of the query parameter in which a caller of the directory gives its failure domain. */
    static String domainParameter() {
        return "zone";
    }

    /** Returns the body of the directory's answer: the callers' addresses of entries, and how long it may be cached. */
    static String directoryBody(List<EntryContact> entries, Duration timeToLive) {
        ObjectNode answer = JsonText.object();
        ArrayNode addresses = answer.putArray("addresses");
        entries.forEach(entry -> addresses.add(entry.callers().toString()));
        answer.put("ttlS", timeToLive.toMillis() / 1_000.0);
        return JsonText.write(answer);
    }
}

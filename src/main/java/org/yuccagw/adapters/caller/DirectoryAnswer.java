package org.yuccagw.adapters.caller;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Comparator;
import java.util.List;
import org.yuccagw.adapters.http.BoundedJson;
import org.yuccagw.core.membership.DirectorySnapshot;
import org.yuccagw.core.membership.EntryStatus;

/**
 * The answer to {@code GET /v1/directory}: the entries to connect to, in order of preference, and their time to live.
 *
 * <p>Entries of the caller's failure domain come first, then the others, each by load and then by name. Suspect entries
 * come last instead of being omitted, because a suspicion may be wrong. Leaving and dead entries are omitted.
 */
final class DirectoryAnswer {
    private static final ObjectMapper JSON = BoundedJson.mapper();

    private DirectoryAnswer() {}

    /**
     * Returns the answer as JSON.
     *
     * @param callerDomain failure domain of the caller, empty if unknown
     */
    static String of(DirectorySnapshot directory, String callerDomain) {
        ObjectNode answer = JSON.createObjectNode();
        ArrayNode entries = answer.putArray("entries");
        for (EntryStatus entry : sortedEntries(directory, callerDomain)) {
            entries.addObject()
                    .put("entry", entry.entry().value())
                    .put("address", entry.callerAddress().toString())
                    .put("domain", entry.domain().value())
                    .put("load", entry.load());
        }
        answer.put("ttl_ms", directory.timeToLive().toMillis());
        return answer.toString();
    }

    private static List<EntryStatus> sortedEntries(DirectorySnapshot directory, String callerDomain) {
        Comparator<EntryStatus> suspectedLast =
                Comparator.comparing(entry -> entry.state() == EntryStatus.State.SUSPECT);
        Comparator<EntryStatus> otherDomainLast =
                Comparator.comparing(entry -> !entry.domain().value().equals(callerDomain));
        return directory.entries().stream()
                .filter(entry -> entry.state() == EntryStatus.State.ALIVE || entry.state() == EntryStatus.State.SUSPECT)
                .sorted(suspectedLast
                        .thenComparing(otherDomainLast)
                        .thenComparing(EntryStatus::load)
                        .thenComparing(EntryStatus::entry))
                .toList();
    }
}

package org.yuccagw.standins.keyvalue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

/** Reads transactions from the bodies of calls. */
final class Transactions {
    private Transactions() {}

    static KeyValueState.Transaction read(JsonNode body) {
        List<KeyValueState.Condition> conditions = new ArrayList<>();
        for (JsonNode row : body.path("expected")) {
            conditions.add(new KeyValueState.Condition(
                    row.required("key").asText(), row.required("revision").asLong()));
        }
        List<KeyValueState.Put> puts = new ArrayList<>();
        for (JsonNode put : body.path("puts")) {
            puts.add(new KeyValueState.Put(
                    put.required("key").asText(),
                    Base64.getDecoder().decode(put.required("value").asText()),
                    put.path("lease").asLong(0)));
        }
        List<String> deletes = new ArrayList<>();
        body.path("deletes").forEach(key -> deletes.add(key.asText()));
        return new KeyValueState.Transaction(conditions, puts, deletes);
    }

    /** The key by which ordered faults choose a transaction. */
    static String firstKey(KeyValueState.Transaction transaction) {
        if (!transaction.puts().isEmpty()) {
            return transaction.puts().get(0).key();
        }
        return transaction.deletes().isEmpty() ? "" : transaction.deletes().get(0);
    }
}

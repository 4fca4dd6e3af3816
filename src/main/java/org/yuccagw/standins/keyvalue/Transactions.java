package org.yuccagw.standins.keyvalue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

/** Parses transactions from the JSON bodies of calls. */
final class Transactions {
    private Transactions() {}

    static KeyValueState.Transaction parse(JsonNode body) {
        List<KeyValueState.Condition> conditions = new ArrayList<>();
        for (JsonNode condition : body.path("expected")) {
            conditions.add(new KeyValueState.Condition(
                    condition.required("key").asText(),
                    condition.required("revision").asLong()));
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

    /**
     * Returns the key that injected faults are matched against: the first written or, without writes, the first
     * deleted.
     */
    static String firstKey(KeyValueState.Transaction transaction) {
        if (!transaction.puts().isEmpty()) {
            return transaction.puts().get(0).key();
        }
        return transaction.deletes().isEmpty() ? "" : transaction.deletes().get(0);
    }
}

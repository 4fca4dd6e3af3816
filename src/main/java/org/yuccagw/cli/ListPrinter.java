package org.yuccagw.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;

/** Prints a list of alike JSON objects as a table, or the whole document as JSON. */
final class ListPrinter {
    private ListPrinter() {}

    /** Prints the objects of the list under {@code field}; the columns are the fields of the first one. */
    static void print(PrintWriter out, JsonNode document, String field, boolean asJson) {
        if (asJson) {
            out.println(document.toPrettyString());
            return;
        }
        JsonNode list = document.path(field);
        if (list.isEmpty()) {
            out.println("no " + field);
            return;
        }
        List<String> columns = new ArrayList<>();
        list.get(0).fieldNames().forEachRemaining(columns::add);
        TextTable table = TextTable.of(columns);
        for (JsonNode row : list) {
            table.row(columns.stream().map(column -> row.path(column).asText()).toList());
        }
        out.print(table);
    }
}

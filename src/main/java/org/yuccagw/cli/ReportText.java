package org.yuccagw.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.yuccagw.adapters.http.BoundedJson;
import org.yuccagw.bench.ExperimentReport;
import org.yuccagw.bench.ExperimentReport.Table;

/** Formats the report of an experiment as text or as JSON. */
final class ReportText {
    private static final ObjectMapper MAPPER = BoundedJson.mapper();

    private ReportText() {}

    static String text(ExperimentReport report) {
        StringBuilder text = new StringBuilder(report.name() + ", seed " + report.seed() + "\n");
        for (Table table : report.tables()) {
            TextTable textTable = TextTable.of(table.columns());
            table.rows().forEach(textTable::row);
            text.append('\n').append(table.title()).append('\n').append(textTable);
        }
        return text.toString();
    }

    /** Returns the report as JSON, where each table row is an object that maps column names to texts. */
    static String json(ExperimentReport report) {
        ObjectNode root = MAPPER.createObjectNode().put("experiment", report.name());
        root.put("seed", report.seed());
        ArrayNode tables = root.putArray("tables");
        for (Table table : report.tables()) {
            ObjectNode node = tables.addObject().put("title", table.title());
            ArrayNode rows = node.putArray("rows");
            table.rows().forEach(row -> writeRow(table.columns(), row, rows.addObject()));
        }
        return root.toPrettyString() + "\n";
    }

    private static void writeRow(List<String> columns, List<String> row, ObjectNode node) {
        for (int i = 0; i < columns.size(); i++) {
            node.put(columns.get(i), row.get(i));
        }
    }
}

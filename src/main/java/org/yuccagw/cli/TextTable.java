package org.yuccagw.cli;

import java.util.ArrayList;
import java.util.List;

/** A text table with aligned columns and a header row. */
final class TextTable {
    private static final String COLUMN_SEPARATOR = "  ";

    private final List<List<String>> rows = new ArrayList<>();

    private TextTable(List<String> columns) {
        rows.add(columns);
    }

    static TextTable of(String... columns) {
        return new TextTable(List.of(columns));
    }

    static TextTable of(List<String> columns) {
        return new TextTable(List.copyOf(columns));
    }

    TextTable row(List<String> cells) {
        rows.add(List.copyOf(cells));
        return this;
    }

    @Override
    public String toString() {
        int[] widths = new int[rows.get(0).size()];
        for (List<String> row : rows) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        StringBuilder text = new StringBuilder();
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < widths.length; i++) {
                line.append(row.get(i))
                        .append(" ".repeat(widths[i] - row.get(i).length()))
                        .append(COLUMN_SEPARATOR);
            }
            text.append(line.toString().stripTrailing()).append('\n');
        }
        return text.toString();
    }
}

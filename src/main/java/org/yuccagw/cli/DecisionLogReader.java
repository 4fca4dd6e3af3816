package org.yuccagw.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.yuccagw.adapters.decisions.DecisionLine;

/** Reads the decisions that entries have logged from files with their output. */
final class DecisionLogReader {
    private DecisionLogReader() {}

    /**
     * Returns the decisions of all files, in the order of the lines. Lines that contain no decision are skipped.
     *
     * @throws CommandException if a file can't be read
     */
    static List<DecisionLine> read(List<Path> files) {
        List<DecisionLine> decisions = new ArrayList<>();
        for (Path file : files) {
            try (BufferedReader reader = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
                String source = file.getFileName().toString();
                for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                    DecisionLine.parse(line, source).ifPresent(decisions::add);
                }
            } catch (IOException e) {
                throw CommandException.failed("the file " + file + " can't be read: " + e.getMessage());
            }
        }
        return decisions;
    }
}

package org.yuccagw.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.yuccagw.adapters.decisions.DecisionLine;

/** Reads the decisions in files that hold the output of entries. */
final class DecisionLogReader {
    private DecisionLogReader() {}

    /**
     * All decisions of the files; other lines are passed over.
     *
     * <p>Fails the command if a file can't be read.
     */
    static List<DecisionLine> read(List<Path> files) {
        List<DecisionLine> decisions = new ArrayList<>();
        for (Path file : files) {
            try (BufferedReader lines = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
                String source = file.getFileName().toString();
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    DecisionLine.parse(line, source).ifPresent(decisions::add);
                }
            } catch (IOException e) {
                throw CommandFailure.failed("can't read " + file + ": " + e.getMessage());
            }
        }
        return decisions;
    }
}

package org.yuccagw.platform;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** The names of the users' platform stand in one folder; the stand-ins that play its part are the exception. */
public class PlatformNamesTest {
    private static final Path SOURCES = Path.of("src", "main", "java", "org", "yuccagw");
    private static final List<Path> SPEAK_IT = List.of(SOURCES.resolve("platform"), SOURCES.resolve("standins"));
    private static final Pattern NAMES = Pattern.compile("(Yuccagw|Server)-[A-Z]|Kv-From|Last-Event-Id|Wait-Ms"
            + "|/kv-(key|range|watch|txn|lease|keep|events|list|free|copy)|\"/(resolve|report|order)\""
            + "|op/(config|version|evacuate)"
            + "|\"servers/|nodeName|listenAddrs|seedNodes|portRange|pathPrefix\"|trafficSplit"
            + "|targetLatencyMs|maxAttempts|noAuth|sessionAffinity|gapAimMs|apiKeys|kvStoreAddr|kvCapacity|tokenKvBytes"
            + "|storeRevision|createdRev|bootEpoch|retrySlack|strictRevoke"
            + "|allowedRegions|cold(StartS|PerS|LeftMs|Overage|Slack)|YUCCAGW_CONFIG");
    private static final Pattern WORDS =
            Pattern.compile("(?i)\\b(tenants?|zones?|back ?ends?|requesters?|check-ins?|work units?|allotments?)\\b");

    /** Where the command line looks for the settings file by default. */
    private static final List<String> ALLOWED = List.of("${env:YUCCAGW_CONFIG}", "YUCCAGW_CONFIG names");

    @Test
    public void noOtherSourceSpellsAsThePlatformDoes() throws IOException {
        assertNone(NAMES);
    }

    @Test
    public void noOtherSourceUsesThePlatformsWords() throws IOException {
        assertNone(WORDS);
    }

    private static void assertNone(Pattern pattern) throws IOException {
        List<String> found = new ArrayList<>();
        try (Stream<Path> files = Files.walk(SOURCES)) {
            for (Path file : files.filter(PlatformNamesTest::isScanned).toList()) {
                int number = 0;
                for (String line : Files.readAllLines(file)) {
                    number++;
                    if (pattern.matcher(without(line)).find()) {
                        found.add(file + ":" + number + ": " + line.trim());
                    }
                }
            }
        }
        assertTrue(found.isEmpty(), String.join("\n", found));
    }

    private static String without(String line) {
        String rest = line;
        for (String allowed : ALLOWED) {
            rest = rest.replace(allowed, "");
        }
        return rest;
    }

    private static boolean isScanned(Path file) {
        boolean generated = file.startsWith(SOURCES.resolve("wire"));
        return file.toString().endsWith(".java")
                && !generated
                && SPEAK_IT.stream().noneMatch(file::startsWith);
    }
}

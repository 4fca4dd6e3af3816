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

/** Checks that only the package {@code platform} and the stand-ins that simulate the platform contain its names. */
public class PlatformNamesTest {
    private static final Path SOURCES = Path.of("src", "main", "java", "org", "yuccagw");
    private static final List<Path> EXEMPT_PACKAGES = List.of(SOURCES.resolve("platform"), SOURCES.resolve("standins"));
    private static final Pattern NAMES = Pattern.compile("(Yuccagw|Server)-[A-Z]|Kv-From|Last-Event-Id|Wait-Ms"
            + "|/kv-(key|range|watch|txn|lease|keep|events|list|free|copy)|\"/(resolve|report|order)\""
            + "|op/(config|version|evacuate)"
            + "|\"servers/|nodeName|listenAddrs|seedNodes|portRange|pathPrefix\"|trafficSplit"
            + "|targetLatencyMs|maxAttempts|noAuth|sessionAffinity|gapAimMs|apiKeys|kvStoreAddr|kvCapacity|tokenKvBytes"
            + "|storeRevision|createdRev|bootEpoch|retrySlack|strictRevoke"
            + "|allowedRegions|cold(StartS|PerS|LeftMs|Overage|Slack)|YUCCAGW_CONFIG");
    private static final Pattern TERMS =
            Pattern.compile("(?i)\\b(tenants?|zones?|back ?ends?|requesters?|check-ins?|work units?|allotments?)\\b");

    /** The environment variable from which the command line reads the default path of the settings file. */
    private static final List<String> ALLOWED_TEXTS = List.of("${env:YUCCAGW_CONFIG}", "YUCCAGW_CONFIG names");

    @Test
    public void noOtherPackageContainsNamesOfThePlatform() throws IOException {
        assertNoMatch(NAMES);
    }

    @Test
    public void noOtherPackageUsesTermsOfThePlatform() throws IOException {
        assertNoMatch(TERMS);
    }

    private static void assertNoMatch(Pattern pattern) throws IOException {
        List<String> matches = new ArrayList<>();
        try (Stream<Path> files = Files.walk(SOURCES)) {
            for (Path file : files.filter(PlatformNamesTest::isScanned).toList()) {
                int number = 0;
                for (String line : Files.readAllLines(file)) {
                    number++;
                    if (pattern.matcher(withoutAllowedTexts(line)).find()) {
                        matches.add(file + ":" + number + ": " + line.trim());
                    }
                }
            }
        }
        assertTrue(matches.isEmpty(), String.join("\n", matches));
    }

    private static String withoutAllowedTexts(String line) {
        String remaining = line;
        for (String allowed : ALLOWED_TEXTS) {
            remaining = remaining.replace(allowed, "");
        }
        return remaining;
    }

    private static boolean isScanned(Path file) {
        boolean generated = file.startsWith(SOURCES.resolve("wire"));
        return file.toString().endsWith(".java")
                && !generated
                && EXEMPT_PACKAGES.stream().noneMatch(file::startsWith);
    }
}

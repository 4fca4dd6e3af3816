package org.yuccagw.daemon;

import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.math.BigDecimal;
import java.math.BigInteger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.placing.PlacementDecision;
import org.yuccagw.core.placing.PlacementRequest;
import org.yuccagw.standins.http.StandInJson;
import org.yuccagw.standins.platform.PlatformDocuments;

/** Guards against a number in another writer's value that stops entries, now or after their next start. */
public class OddNumbersTest {
    private static final int ENTRIES = 3;
    private static final int VALUES_PER_PLAY = 12;
    private static final Duration SETTLED = Duration.ofSeconds(6);
    private static final Duration BETWEEN = Duration.ofMillis(300);
    private static final List<String> ODD = List.of(
            "0",
            "-1",
            "-5",
            "1.5",
            "65536",
            "70000",
            "32768",
            "2147483647",
            "2147483648",
            "-2147483649",
            "4294967296",
            "9007199254740993",
            "9223372036854775",
            "9223372036854775807",
            "-9223372036854775808",
            "9223372036854775808",
            "1e3",
            "1e18",
            "1e19",
            "1e300",
            "1e-300",
            "1e400",
            "-1e19");

    private final List<BenchNode> nodes = new ArrayList<>();
    private VirtualFleet fleet;
    private SplittableRandom random;

    @DataProvider
    public static Object[][] seeds() {
        Object[][] seeds = new Object[24][];
        for (int seed = 0; seed < seeds.length; seed++) {
            seeds[seed] = new Object[] {seed};
        }
        return seeds;
    }

    @Test(dataProvider = "seeds")
    public void entriesServeOnWhateverNumbersAnotherWriterLeft(int seed) {
        random = new SplittableRandom(seed);
        start();
        for (int count = 0; count < VALUES_PER_PLAY; count++) {
            writeOddValue(count);
            fleet.bench.runFor(BETWEEN);
        }
        assertAllServe("seed " + seed);
        nodes.get(1).kill();
        nodes.set(1, fleet.start("entry-1"));
        fleet.bench.runFor(SETTLED);
        assertAllServe("seed " + seed + ", after a start");
    }

    private void start() {
        fleet = new VirtualFleet();
        nodes.clear();
        for (int index = 0; index < ENTRIES; index++) {
            nodes.add(fleet.start("entry-" + index));
        }
        fleet.configure(1);
        fleet.addEngine("engine-1");
        fleet.addPlain("plain-1");
        fleet.bench.runFor(SETTLED);
    }

    private void assertAllServe(String when) {
        for (BenchNode node : nodes) {
            for (String path : List.of("/model/x", "/plain/x")) {
                String fingerprint = path + when + node.entry();
                PlacementDecision decision = fleet.place(node, path, PlacementRequest.Kind.FIRST, fingerprint);
                assertTrue(decision instanceof PlacementDecision.Placed, when + ", " + node.entry() + path + decision);
            }
        }
    }

    /** Writes a value of which one number is odd, in the place of a sound one or under a key of its own. */
    private void writeOddValue(int number) {
        Map<String, byte[]> sound = new TreeMap<>();
        NetworkAddress unused = NetworkAddress.of("127.0.0.1", 9);
        sound.put(
                PlatformDocuments.endpointKey("odd-" + number),
                PlatformDocuments.endpoint("other", unused, "a", false));
        sound.put(
                PlatformDocuments.endpointKey("odd-engine-" + number),
                PlatformDocuments.engine("other", unused, "a", "other", 1));
        sound.put(PlatformDocuments.weightsKey("other"), PlatformDocuments.weights("other", 1));
        for (String key : List.of("yuccagw/entry/entry-2", "yuccagw/duty/weights")) {
            fleet.bench.keyValue().peek(key).ifPresent(value -> sound.put(key + "-odd", value));
        }
        List<String> keys = List.copyOf(sound.keySet());
        String key = keys.get(random.nextInt(keys.size()));
        fleet.bench.keyValue().put(key, withOddNumber(sound.get(key)));
    }

    private byte[] withOddNumber(byte[] sound) {
        JsonNode root = StandInJson.parse(sound);
        List<Runnable> changes = new ArrayList<>();
        String odd = ODD.get(random.nextInt(ODD.size()));
        JsonNode value = odd.matches("-?\\d+")
                ? StandInJson.object().numberNode(new BigInteger(odd))
                : StandInJson.object().numberNode(new BigDecimal(odd));
        collect(root, value, odd, changes);
        changes.get(random.nextInt(changes.size())).run();
        return StandInJson.bytes(root);
    }

    private static void collect(JsonNode node, JsonNode value, String odd, List<Runnable> changes) {
        if (node instanceof ArrayNode array) {
            array.forEach(each -> collect(each, value, odd, changes));
        } else if (node instanceof ObjectNode object) {
            object.fields().forEachRemaining(field -> {
                if (field.getValue().isNumber()) {
                    changes.add(() -> object.set(field.getKey(), value));
                } else if (field.getValue().asText().contains(":")) {
                    changes.add(() -> object.put(field.getKey(), "127.0.0.1:" + odd));
                }
                collect(field.getValue(), value, odd, changes);
            });
        }
    }
}

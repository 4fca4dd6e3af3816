package org.yuccagw.bench.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.adapters.http.HttpQuery;
import org.yuccagw.bench.local.LocalCatalogue;
import org.yuccagw.bench.local.LocalDeployment;
import org.yuccagw.bench.local.LocalPlan;
import org.yuccagw.client.ClientSettings;
import org.yuccagw.client.CompletionRequest;
import org.yuccagw.client.CompletionAnswer;
import org.yuccagw.client.YuccagwClient;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.standins.engine.EngineStandIn;
import org.yuccagw.standins.store.CacheStoreStandIn;

/**
 * Shows what yuccagw is for: prompts with a long preamble are answered, their cache blocks go to the stores, the
 * engines lose them, and when the prompts return most of their work isn't done again.
 *
 * <p>Steps: start the system, send each prompt once, wait for the exports, evict everything, send each preamble again
 * with another question, and make one non-idempotent call twice. What didn't hold is listed as a problem.
 */
public final class Demo {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final List<String> WORKSPACES = List.of("statistics", "ministry");
    private static final int PROMPTS = 8;
    private static final int PREAMBLE_LINES = 400;
    private static final int ANSWER_TOKENS = 24;
    private static final double LEAST_REUSED_SHARE = 0.5;
    private static final int MOST_COPIES = 3;
    private static final int PERCENT = 100;
    private static final Duration LONGEST_EXPORT = Duration.ofSeconds(30);

    /** Longer than the pause between two exports, and than the lag of the engines' cache events. */
    private static final Duration QUIET = Duration.ofSeconds(3);

    private static final long POLL_NANOS = Duration.ofMillis(50).toNanos();

    private final LocalDeployment system;
    private final Consumer<String> progress;
    private final List<YuccagwClient> clients = new ArrayList<>();
    private final List<String> problems = new ArrayList<>();

    private Demo(LocalDeployment system, Consumer<String> progress) {
        this.system = system;
        this.progress = progress;
    }

    /**
     * Starts the system with its catalogue in force.
     *
     * @param progress told what is going on, a few words at a time
     */
    public static Demo start(Consumer<String> progress) throws YuccagwException {
        progress.accept("starting stand-ins of the platform and three entries");
        Demo demo = new Demo(LocalDeployment.start(LocalPlan.usual()), progress);
        try {
            for (String workspace : WORKSPACES) {
                demo.clients.add(YuccagwClient.start(
                        ClientSettings.of(demo.system.callerAddresses(), LocalCatalogue.workspaceKey(workspace))));
            }
            return demo;
        } catch (IOException e) {
            demo.stop();
            throw ErrorKind.INTERNAL.raiseFrom(e, e.getMessage());
        }
    }

    public void stop() {
        clients.forEach(YuccagwClient::stop);
        system.stop();
    }

    public LocalDeployment system() {
        return system;
    }

    /** A command that streams an answer from the running system. */
    public String curlLine() {
        return "curl -sN http://" + system.callerAddresses().get(0) + "/v1/completions -H 'Authorization: Bearer "
                + LocalCatalogue.workspaceKey(WORKSPACES.get(0))
                + "' -H 'Content-Type: application/json' -d '{\"model\":\""
                + LocalCatalogue.MODEL + "\",\"prompt\":\"Explain this cell\",\"max_tokens\":16,\"stream\":true}'";
    }

    /** Runs all steps. */
    public DemoOutcome run() throws YuccagwException {
        List<Visit> first = visitAll("first visit");
        awaitExports();
        progress.accept("the engines evict everything");
        system.engines().forEach(EngineStandIn::evictAll);
        pause(QUIET);
        long readBefore = storeBytes(CacheStoreStandIn::readBytes);
        List<Visit> returned = visitAll("return");
        long imported = storeBytes(CacheStoreStandIn::readBytes) - readBefore;
        callTwice();
        checkReuse(returned, imported);
        checkExports(first);
        JsonNode trace = trace(DemoOutcome.median(returned).request());
        return new DemoOutcome(
                first, returned, storeBytes(CacheStoreStandIn::writtenBytes), imported, trace, List.copyOf(problems));
    }

    private List<Visit> visitAll(String what) throws YuccagwException {
        List<Visit> visits = new ArrayList<>();
        for (int i = 0; i < PROMPTS; i++) {
            progress.accept(what + " " + (i + 1) + " of " + PROMPTS);
            String prompt = preamble(i) + "Question of the " + what + ": what does cell " + i + " do?";
            Visit visit = visit(clients.get(i % clients.size()), prompt);
            if (!visit.text().equals(EngineStandIn.expectedAnswer(prompt, ANSWER_TOKENS))) {
                problems.add(what + " " + (i + 1) + ": the answer isn't the whole answer to this prompt");
            }
            visits.add(visit);
        }
        return visits;
    }

    private static Visit visit(YuccagwClient client, String prompt) throws YuccagwException {
        CompletionRequest completion = CompletionRequest.of(LocalCatalogue.MODEL, prompt).withMaxTokens(ANSWER_TOKENS);
        FirstPiece first = new FirstPiece(System.nanoTime());
        CompletionAnswer answer = client.complete(completion, first);
        return new Visit(
                answer.requestId(), first.after(), answer.promptTokens(), answer.cachedTokens(), answer.text());
    }

    /** Exports go in the background after the answers: wait until some were made and no more come. */
    private void awaitExports() {
        progress.accept("waiting for exports to the cache stores");
        long begin = System.nanoTime();
        long changed = begin;
        long written = 0;
        while (System.nanoTime() - begin < LONGEST_EXPORT.toNanos()) {
            long now = storeBytes(CacheStoreStandIn::writtenBytes);
            if (now != written) {
                written = now;
                changed = System.nanoTime();
            } else if (written > 0 && System.nanoTime() - changed > QUIET.toNanos()) {
                return;
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    private void callTwice() throws YuccagwException {
        progress.accept("one non-idempotent call, sent twice");
        for (int i = 0; i < 2; i++) {
            NetworkAddress entry = system.callerAddresses().get(i);
            HttpQuery call = HttpQuery.json("POST", entry, "/" + LocalCatalogue.PLAIN + "/label", "{\"cell\":7}")
                    .withHeader("Authorization", "Bearer " + LocalCatalogue.workspaceKey(WORKSPACES.get(0)))
                    .withHeader("Idempotency-Key", "label-cell-7");
            HttpResponse answer = system.send(call);
            if (!answer.isSuccess()) {
                problems.add("the labelling call was refused with status " + answer.status() + ": " + answer.text());
            }
        }
        int runs = system.plain().calls().size();
        if (runs != 1) {
            problems.add("the labelling call ran " + runs + " times and not once");
        }
    }

    private void checkReuse(List<Visit> returned, long imported) {
        double share = DemoOutcome.reusedShare(returned);
        if (share < LEAST_REUSED_SHARE) {
            problems.add(
                    String.format(Locale.ROOT, "only %.0f%% of the returning prompts was reused", share * PERCENT));
        }
        if (imported == 0) {
            problems.add("nothing was imported from the cache stores");
        }
    }

    /** Each block is worth one copy, a few that many prompts share are worth one in each store. */
    private void checkExports(List<Visit> first) {
        long blocks = first.stream().mapToLong(Visit::promptTokens).sum() * LocalCatalogue.BYTES_PER_TOKEN;
        long exported = storeBytes(CacheStoreStandIn::writtenBytes);
        if (exported > MOST_COPIES * blocks) {
            problems.add("the prompts' blocks take " + blocks + " bytes, but " + exported + " were exported");
        }
    }

    /** The client chose the entry, so each is asked. */
    private JsonNode trace(String request) throws YuccagwException {
        for (NetworkAddress admin : system.adminAddresses()) {
            HttpQuery query = HttpQuery.get(admin, "/admin/trace/" + request)
                    .withHeader("Authorization", "Bearer " + LocalCatalogue.OPERATOR_KEY);
            HttpResponse answer = system.send(query);
            if (answer.isSuccess()) {
                return parse(answer);
            }
        }
        problems.add("no entry knows the trace of request " + request);
        return MAPPER.createObjectNode();
    }

    private static JsonNode parse(HttpResponse answer) throws YuccagwException {
        try {
            return MAPPER.readTree(answer.body());
        } catch (IOException e) {
            throw ErrorKind.INTERNAL.raiseFrom(e, "the trace isn't JSON");
        }
    }

    private static void pause(Duration duration) {
        long end = System.nanoTime() + duration.toNanos();
        while (System.nanoTime() - end < 0) {
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    private long storeBytes(ToLongFunction<CacheStoreStandIn> count) {
        return system.stores().stream().mapToLong(count).sum();
    }

    /** A notebook of its own for each number, long enough that reading it takes the engine a while. */
    private static String preamble(int number) {
        StringBuilder text = new StringBuilder();
        for (int line = 0; line < PREAMBLE_LINES; line++) {
            text.append("notebook ")
                    .append(number)
                    .append(" cell ")
                    .append(line)
                    .append(": total = sum(column)\n");
        }
        return text.toString();
    }

    /** Notes when the first piece of an answer came. */
    private static final class FirstPiece implements Consumer<String> {
        private final long sentNanos;
        private volatile long firstNanos;

        private FirstPiece(long sentNanos) {
            this.sentNanos = sentNanos;
            this.firstNanos = sentNanos;
        }

        @Override
        public void accept(String piece) {
            if (firstNanos == sentNanos) {
                firstNanos = System.nanoTime();
            }
        }

        private Duration after() {
            return Duration.ofNanos(firstNanos - sentNanos);
        }
    }
}

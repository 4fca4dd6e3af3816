package org.yuccagw.standins.engine;

import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * The text of the answers of stand-in engines, in which each word is a function of all preceding text.
 *
 * <p>A running FNV-1a hash over the bytes of the prompt and the answer so far selects the next word. An engine that
 * receives the prompt with the beginning of its answer appended therefore continues with the same words as the first
 * engine, and tests can compute the full answer to any prompt.
 */
public final class CompletionFormat {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final List<String> WORDS = List.of(
            "amber ",
            "birch ",
            "cedar ",
            "delta ",
            "ember ",
            "fjord ",
            "grove ",
            "harbor ",
            "island ",
            "jade ",
            "kelp ",
            "lagoon ",
            "meadow ",
            "north ",
            "ocean ",
            "pebble ",
            "quartz ",
            "river ",
            "stone ",
            "tundra ",
            "umber ",
            "valley ",
            "willow ",
            "yarrow ",
            "zephyr ",
            "basalt ",
            "copper ",
            "dune ",
            "estuary ",
            "flint ",
            "granite ",
            "heath ");

    private long hash = FNV_OFFSET_BASIS;

    private CompletionFormat() {}

    /** Returns the generator of the answer to this text. */
    static CompletionFormat after(String text) {
        CompletionFormat answer = new CompletionFormat();
        answer.updateHash(text);
        return answer;
    }

    /** Returns the first {@code tokens} words of the answer to this text. */
    public static String words(String text, int tokens) {
        CompletionFormat answer = after(text);
        StringBuilder words = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            words.append(answer.nextWord());
        }
        return words.toString();
    }

    String nextWord() {
        long mixed = hash ^ (hash >>> 32);
        String word = WORDS.get((int) Long.remainderUnsigned(mixed * FNV_PRIME, WORDS.size()));
        updateHash(word);
        return word;
    }

    private void updateHash(String text) {
        for (byte next : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (next & 0xff)) * FNV_PRIME;
        }
    }
}

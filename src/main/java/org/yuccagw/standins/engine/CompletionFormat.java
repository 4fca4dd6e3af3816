package org.yuccagw.standins.engine;

import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * The text that a stand-in engine answers with: each word is a function of all text before it.
 *
 * <p>A running FNV-1a hash over the bytes of prompt and answer so far picks the next word. So any engine that is given
 * the prompt with a part of the answer appended goes on with the very words that the first one would have given, and a
 * test knows the whole answer of any prompt.
 */
public final class CompletionFormat {
    private static final long OFFSET = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;
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

    private long hash = OFFSET;

    private CompletionFormat() {}

    /** The answer that follows this text. */
    static CompletionFormat after(String text) {
        CompletionFormat answer = new CompletionFormat();
        answer.add(text);
        return answer;
    }

    /** The first {@code tokens} words that follow this text. */
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
        String word = WORDS.get((int) Long.remainderUnsigned(mixed * PRIME, WORDS.size()));
        add(word);
        return word;
    }

    private void add(String text) {
        for (byte next : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (next & 0xff)) * PRIME;
        }
    }
}

package org.yuccagw.core.prompt;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * The size and the parts of a prompt, as stated by the caller.
 *
 * @param model name of the model
 * @param promptTokens tokens of the whole prompt
 * @param answerTokens expected tokens of the answer: the estimate of the caller, or else the most tokens that it allows
 * @param parts parts of the prompt in order; the last one belongs to the request itself or to its session
 */
public record PromptShape(String model, int promptTokens, int answerTokens, ImmutableList<PromptPart> parts) {
    /** Returns the number of tokens of the prompt and its expected answer. */
    public int totalTokens() {
        return promptTokens + answerTokens;
    }

    /**
     * Returns the part by which requests of a session are sent to the same endpoint: the last shared part, which
     * identifies most of the tokens that another endpoint would have to prefill again. Empty if the prompt has no
     * shared part.
     */
    public Optional<PromptPart> sessionPart() {
        return parts.size() < 2 ? Optional.empty() : Optional.of(parts.get(parts.size() - 2));
    }

    /** Returns all parts but the last, which belongs to the request alone. */
    public ImmutableList<PromptPart> sharedParts() {
        return parts.subList(0, Math.max(0, parts.size() - 1));
    }

    /** Returns the number of tokens of all parts but the last. */
    public int sharedTokens() {
        return sharedParts().stream().mapToInt(PromptPart::tokens).sum();
    }
}

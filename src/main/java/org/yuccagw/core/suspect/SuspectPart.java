package org.yuccagw.core.suspect;

import com.google.common.collect.ImmutableSet;
import org.yuccagw.core.prompt.PromptPart;
import org.yuccagw.core.prompt.PromptShape;

/**
 * A part that prompts for a model may share, and that may make an endpoint crash.
 *
 * <p>It belongs to a model, not to a service or a workspace: a route may be moved to another service of the model, and
 * the content of a part is the same whoever sends it.
 *
 * @param model name of the model
 * @param part id of the part, which identifies its content
 */
public record SuspectPart(String model, String part) {
    /** Returns all parts of a prompt but the last, which belongs to the request alone. */
    public static ImmutableSet<SuspectPart> sharedPartsOf(PromptShape prompt) {
        return prompt.sharedParts().stream()
                .map(PromptPart::id)
                .map(part -> new SuspectPart(prompt.model(), part))
                .collect(ImmutableSet.toImmutableSet());
    }

    @Override
    public String toString() {
        return model + '/' + part;
    }
}

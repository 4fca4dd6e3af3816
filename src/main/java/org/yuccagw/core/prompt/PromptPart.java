package org.yuccagw.core.prompt;

/**
 * A part of a prompt. Prompts that begin with the same parts share the cached blocks of these parts.
 *
 * @param id identifies the content: equal contents have equal ids
 * @param tokens size of the part
 */
public record PromptPart(String id, int tokens) {}

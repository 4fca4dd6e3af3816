package org.yuccagw.core.prompt;

/**
 * One part of a prompt. Prompts that begin with the same parts share them.
 *
 * @param id the same for the same content
 */
public record PromptPart(String id, int tokens) {}

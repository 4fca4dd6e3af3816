package org.yuccagw.core.stores;

/**
 * Names a part of prompts in a store.
 *
 * @param salt see {@link CacheSalt}
 */
public record PartName(String salt, String part) {}

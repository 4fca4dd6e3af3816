package org.yuccagw.core.stores;

/**
 * Identifies a part of a prompt in a store.
 *
 * @param salt the salt of the part, see {@link CacheSalt}
 * @param part the id of the part
 */
public record PartName(String salt, String part) {}

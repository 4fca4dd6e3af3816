package org.yuccagw.core.cache;

/**
 * A sealed block in a store, as the store identifies it.
 *
 * @param generation number that the store gave to this copy; a read with another generation fails
 * @param length length in bytes
 * @param checksum CRC-32C of the contents
 */
public record StoredBlock(BlockKey key, long generation, long length, long checksum) {}

package org.yuccagw.core.catalogue;

/**
 * The key of an operator who may use the admin address.
 *
 * @param name the operator's name in the history of edits
 * @param keyHash lower-case hexadecimal SHA-256 of the operator's bearer key
 */
public record OperatorKey(String name, String keyHash) {}

package org.yuccagw.core.catalogue;

/**
 * One accepted edit in the history.
 *
 * @param revision the revision that the edit created
 * @param editId the unique id of the edit
 * @param operator the name of the operator who made the edit
 * @param wallMillis Unix time in milliseconds by the clock of the entry that wrote the edit
 */
public record AcceptedEdit(long revision, String editId, String operator, long wallMillis) {}

package org.yuccagw.core.control;

/**
 * Raised when the key-value service was restored from an older copy: writes that it had acknowledged may be gone, and
 * all leases of earlier eras have ended. May be raised more than once for an era.
 *
 * @param era the present era of the service
 */
public record KeyValueRestored(long era) implements ControlEvent {}

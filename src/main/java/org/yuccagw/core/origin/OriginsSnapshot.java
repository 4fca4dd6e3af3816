package org.yuccagw.core.origin;

/**
 * The origins that this entry keeps.
 *
 * @param kept their number
 */
public record OriginsSnapshot(int kept) {
    public static final OriginsSnapshot NONE = new OriginsSnapshot(0);
}

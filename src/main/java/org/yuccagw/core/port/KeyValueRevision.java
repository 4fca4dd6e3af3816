package org.yuccagw.core.port;

/**
 * Revisions of the key-value service, as single numbers that increase with each write although the service may be
 * restored from an older copy.
 *
 * <p>A restored service goes back to the revision of the copy and grants the later ones again, for other writes. It
 * states in which era it is, a number that increases by one with each restoration. The era takes the high bits of a
 * revision here, so that a comparison of two revisions orders first by the era and then by the service's own number.
 *
 * <p>Example: number 27 of era 4 is lower than number 3 of era 5.
 */
public final class KeyValueRevision {
    /** The revision before all writes, which belongs to no era. */
    public static final long NONE = 0;

    private static final int NUMBER_BITS = 32;

    /** Keeps revisions below 2^53, the largest integers that every JSON parser reads exactly. */
    private static final long MAX_ERA = (1L << 21) - 1;

    private static final long MAX_NUMBER = (1L << NUMBER_BITS) - 1;

    private KeyValueRevision() {}

    /**
     * Returns the revision with the service's own number in an era.
     *
     * @throws IllegalArgumentException if one of them is negative or too large
     */
    public static long of(long era, long number) {
        if (era < 0 || era > MAX_ERA || number < 0 || number > MAX_NUMBER) {
            throw new IllegalArgumentException("no revision: number " + number + " of era " + era);
        }
        return number == NONE ? NONE : (era << NUMBER_BITS) | number;
    }

    /** Returns the era of a revision; 0 if the service states none. */
    public static long era(long revision) {
        return revision >>> NUMBER_BITS;
    }

    /** Returns the service's own number of a revision. */
    public static long number(long revision) {
        return revision & MAX_NUMBER;
    }

    /** Returns whether the first revision belongs to an earlier era than the second. */
    public static boolean isOfEarlierEra(long first, long second) {
        return era(first) < era(second);
    }
}

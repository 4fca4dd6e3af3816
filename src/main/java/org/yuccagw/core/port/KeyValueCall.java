package org.yuccagw.core.port;

import java.time.Duration;
import java.util.Optional;

/**
 * One call to the platform's key-value service. Every call counts against the rate limits of the platform; a waiting
 * {@link Watch} counts as one call for as long as it waits.
 */
public interface KeyValueCall {
    /** The expected revision of a key that doesn't exist. */
    long ABSENT = 0;

    /** Reads one key. */
    record Read(String key) implements KeyValueCall {}

    /** Reads all keys that start with {@code prefix}, in key order. */
    record ReadPrefix(String prefix) implements KeyValueCall {}

    /**
     * Writes {@code value} if the key still has {@code expectedRevision}, or {@link #ABSENT} for a new key.
     *
     * @param lease if present, the key is deleted when the lease expires
     */
    record CompareAndSwap(String key, long expectedRevision, byte[] value, Optional<LeaseHandle> lease)
            implements KeyValueCall {}

    /** Deletes the key if it still has {@code expectedRevision}. */
    record Delete(String key, long expectedRevision) implements KeyValueCall {}

    /** Grants a lease that expires {@code timeToLive} after its last renewal. */
    record GrantLease(Duration timeToLive) implements KeyValueCall {}

    /** Extends a lease by its time to live. */
    record RenewLease(LeaseHandle lease) implements KeyValueCall {}

    /** Ends a lease and deletes its keys. */
    record RevokeLease(LeaseHandle lease) implements KeyValueCall {}

    /**
     * Waits until a key under {@code prefix} has a revision above {@code afterRevision}. The answer is empty if there
     * is none within {@code maxWait}.
     */
    record Watch(String prefix, long afterRevision, Duration maxWait) implements KeyValueCall {}

    /**
     * The id of a lease in the service.
     *
     * @param era the era in which it was granted; a restored service may grant the same number again
     */
    record LeaseHandle(long era, long value) {}
}

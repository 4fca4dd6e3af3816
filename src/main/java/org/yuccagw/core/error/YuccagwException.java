package org.yuccagw.core.error;

import java.time.Duration;
import java.util.Optional;
import org.yuccagw.core.error.ErrorKind.Ran;

/** The only checked exception of yuccagw: an {@link ErrorKind} and the message from the template of that kind. */
public final class YuccagwException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ErrorKind kind;
    private final Ran ran;
    private final Duration retryAfter;

    YuccagwException(ErrorKind kind, String message, Throwable cause) {
        this(kind, message, cause, kind.ran(), null);
    }

    private YuccagwException(ErrorKind kind, String message, Throwable cause, Ran ran, Duration retryAfter) {
        super(message, cause);
        this.kind = kind;
        this.ran = ran;
        this.retryAfter = retryAfter;
    }

    public ErrorKind kind() {
        return kind;
    }

    /** Returns whether the request ran: as the kind says, unless an earlier attempt with its key may have run. */
    public Ran ran() {
        return ran;
    }

    /** Returns the same error for a request that may have run in an earlier attempt with the same idempotency key. */
    public YuccagwException mayHaveRunBefore() {
        return new YuccagwException(kind, getMessage(), getCause(), Ran.MAY_HAVE_RUN, retryAfter);
    }

    /** Returns the time after which the sender should retry; empty if none was predicted. */
    public Optional<Duration> retryAfter() {
        return Optional.ofNullable(retryAfter);
    }

    /** Returns the same error with the time after which the sender should retry. */
    public YuccagwException withRetryAfter(Duration wait) {
        return new YuccagwException(kind, getMessage(), getCause(), ran, wait);
    }
}

package org.yuccagw.core.error;

import java.time.Duration;
import java.util.Optional;

/** The only checked exception of yuccagw: an {@link ErrorKind} and the message from the template of that kind. */
public final class YuccagwException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ErrorKind kind;
    private final Duration retryAfter;

    YuccagwException(ErrorKind kind, String message, Throwable cause) {
        this(kind, message, cause, null);
    }

    private YuccagwException(ErrorKind kind, String message, Throwable cause, Duration retryAfter) {
        super(message, cause);
        this.kind = kind;
        this.retryAfter = retryAfter;
    }

    public ErrorKind kind() {
        return kind;
    }

    /** Returns the time after which the sender should retry; empty if none was predicted. */
    public Optional<Duration> retryAfter() {
        return Optional.ofNullable(retryAfter);
    }

    /** Returns the same error with the time after which the sender should retry. */
    public YuccagwException withRetryAfter(Duration wait) {
        return new YuccagwException(kind, getMessage(), getCause(), wait);
    }
}

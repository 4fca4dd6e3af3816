package org.yuccagw.adapters.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.SameThreadExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.xnio.XnioExecutor;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;

/**
 * Reads the body of a request without blocking, within a size limit and a timeout.
 *
 * <p>A body that is too large, arrives too slowly or ends early is answered with an error of its own kind, and the
 * connection is closed. No thread is blocked while the body arrives.
 */
public final class BodyReader {
    private final long limitBytes;
    private final long timeoutMillis;

    private BodyReader(long limitBytes, long timeoutMillis) {
        this.limitBytes = limitBytes;
        this.timeoutMillis = timeoutMillis;
    }

    /**
     * Creates a reader.
     *
     * @param limitBytes largest accepted body, in bytes
     * @param timeoutMillis longest time from the call of {@link #read} to the last byte, in milliseconds
     */
    public static BodyReader of(long limitBytes, long timeoutMillis) {
        return new BodyReader(limitBytes, timeoutMillis);
    }

    /**
     * Reads the whole body, then calls {@code onBody} on the I/O thread with the exchange dispatched.
     *
     * <p>If the body can't be read, the request is answered with BODY_TOO_LARGE, SLOW_BODY or CUT_BODY, and
     * {@code onBody} isn't called.
     */
    public void read(HttpServerExchange exchange, Consumer<byte[]> onBody) {
        if (exchange.getRequestContentLength() > limitBytes) {
            reject(exchange, ErrorKind.BODY_TOO_LARGE.raise(limitBytes));
            return;
        }
        ReadState state = new ReadState();
        XnioExecutor.Key timeoutTimer = exchange.getIoThread()
                .executeAfter(
                        () -> {
                            if (state.finish()) {
                                reject(exchange, ErrorKind.SLOW_BODY.raise(timeoutMillis));
                            }
                        },
                        timeoutMillis,
                        TimeUnit.MILLISECONDS);
        exchange.getRequestReceiver().setMaxBufferSize((int) limitBytes);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (completed, bytes) -> {
                            timeoutTimer.remove();
                            if (state.finish()) {
                                completed.dispatch(SameThreadExecutor.INSTANCE, () -> onBody.accept(bytes));
                            }
                        },
                        (failed, cause) -> {
                            timeoutTimer.remove();
                            if (state.finish()) {
                                reject(failed, toError(cause));
                            }
                        });
    }

    private YuccagwException toError(Exception cause) {
        return cause instanceof RequestTooBigException
                ? ErrorKind.BODY_TOO_LARGE.raise(limitBytes)
                : ErrorKind.CUT_BODY.raiseFrom(cause);
    }

    private static void reject(HttpServerExchange exchange, YuccagwException error) {
        exchange.setPersistent(false);
        ErrorAnswers.send(exchange, error);
    }

    /** Makes sure that a read ends exactly once. Used on one I/O thread only. */
    private static final class ReadState {
        private boolean finished;

        /** Returns whether this is the first call. */
        boolean finish() {
            boolean first = !finished;
            finished = true;
            return first;
        }
    }
}

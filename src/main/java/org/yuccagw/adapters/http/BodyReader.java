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
 * Reads the body of a request without blocking, within a size and a time. A sender that is slow, cut or too large gets
 * its own error, its connection is closed, and no thread ever waits for it.
 */
public final class BodyReader {
    private final long limitBytes;
    private final long timeoutMillis;

    private BodyReader(long limitBytes, long timeoutMillis) {
        this.limitBytes = limitBytes;
        this.timeoutMillis = timeoutMillis;
    }

    public static BodyReader of(long limitBytes, long timeoutMillis) {
        return new BodyReader(limitBytes, timeoutMillis);
    }

    /** Calls {@code body} on the I/O thread, with the exchange dispatched, once all bytes arrived. */
    public void read(HttpServerExchange exchange, Consumer<byte[]> body) {
        if (exchange.getRequestContentLength() > limitBytes) {
            refuse(exchange, ErrorKind.BODY_TOO_LARGE.raise(limitBytes));
            return;
        }
        Progress progress = new Progress();
        XnioExecutor.Key timer = exchange.getIoThread()
                .executeAfter(
                        () -> {
                            if (progress.finish()) {
                                refuse(exchange, ErrorKind.SLOW_BODY.raise(timeoutMillis));
                            }
                        },
                        timeoutMillis,
                        TimeUnit.MILLISECONDS);
        exchange.getRequestReceiver().setMaxBufferSize((int) limitBytes);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (received, bytes) -> {
                            timer.remove();
                            if (progress.finish()) {
                                received.dispatch(SameThreadExecutor.INSTANCE, () -> body.accept(bytes));
                            }
                        },
                        (failed, cause) -> {
                            timer.remove();
                            if (progress.finish()) {
                                refuse(failed, kindOf(cause));
                            }
                        });
    }

    private YuccagwException kindOf(Exception cause) {
        return cause instanceof RequestTooBigException
                ? ErrorKind.BODY_TOO_LARGE.raise(limitBytes)
                : ErrorKind.CUT_BODY.raiseFrom(cause);
    }

    private static void refuse(HttpServerExchange exchange, YuccagwException error) {
        exchange.setPersistent(false);
        ErrorAnswers.send(exchange, error);
    }

    /** Whether the one outcome of a read is known; all uses are on one I/O thread. */
    private static final class Progress {
        private boolean finished;

        boolean finish() {
            boolean first = !finished;
            finished = true;
            return first;
        }
    }
}

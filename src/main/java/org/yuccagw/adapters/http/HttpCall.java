package org.yuccagw.adapters.http;

import io.undertow.connector.PooledByteBuffer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.yuccagw.adapters.http.HttpResponseListener.Phase;
import org.yuccagw.core.port.BodyEnd;

/**
 * One HTTP request in progress. All its state is confined to one I/O thread, so it needs no lock.
 *
 * <p>A silence timer runs while bytes are expected. The end of the head and every byte of the body restart it. When it
 * expires, the connection is closed and the listener is notified of the silence. This guards against connections whose
 * state a device on the path has dropped: they never report an error.
 */
public final class HttpCall implements OngoingCall {
    /** After this much of a body, the other connections and timers of the I/O thread have their turn. */
    private static final int MAX_BYTES_PER_TURN = 256 * 1024;

    /** Time for a reset to arrive after the end of a connection; a round trip takes 10 ms at most. */
    private static final Duration RESET_TIME = Duration.ofMillis(30);

    private final HttpClient client;
    private final HttpRequest request;
    private final XnioIoThread thread;
    private final HttpResponseListener listener;
    private final ResponseReader reader;

    private Phase phase = Phase.CONNECT;
    private boolean finished;
    private boolean paused;
    private boolean reused;
    private HttpConnection connection;
    private PooledByteBuffer input;
    private boolean reading;
    private ByteBuffer[] unsent;
    private RequestState requestState = RequestState.SENDING;
    private IOException writeFailure;
    private XnioExecutor.Key silenceTimer;
    private XnioExecutor.Key resetTimer;
    private long lastByteNanos;

    /** How much of the request has been written. */
    private enum RequestState {
        SENDING,
        SENT,
        /** The connection has accepted a part of the request and accepts no more. */
        FAILED
    }

    HttpCall(HttpClient client, HttpRequest request, XnioIoThread thread, HttpResponseListener listener) {
        this.client = client;
        this.request = request;
        this.thread = thread;
        this.listener = listener;
        this.reader = ResponseReader.of(request.method());
    }

    @Override
    public void cancel() {
        if (Thread.currentThread() == thread) {
            finishWithoutCallback();
        } else {
            thread.execute(this::finishWithoutCallback);
        }
    }

    @Override
    public void pause() {
        paused = true;
        if (connection != null && !finished) {
            connection.suspendReads();
        }
    }

    @Override
    public void resume() {
        if (!paused || finished) {
            return;
        }
        paused = false;
        lastByteNanos = System.nanoTime();
        if (connection != null && resetTimer == null) {
            connection.wakeupReads();
        }
    }

    void start() {
        if (finished) {
            return;
        }
        try {
            unsent = new ByteBuffer[] {RequestHead.encode(request), ByteBuffer.wrap(request.body())};
        } catch (IllegalArgumentException e) {
            fail(false, new IOException(e));
            return;
        }
        silenceTimer = thread.executeAfter(
                () -> fail(false, new IOException("no connection to " + request.address() + " within its timeout")),
                request.connectTimeout().toMillis(),
                TimeUnit.MILLISECONDS);
        Optional<HttpConnection> idle = client.takeIdleConnection(request, thread);
        if (idle.isPresent()) {
            reused = true;
            onConnected(idle.get());
            return;
        }
        client.connect(request.address(), thread, this::onConnected, cause -> fail(false, cause));
    }

    private void onConnected(HttpConnection established) {
        if (finished) {
            established.close();
            return;
        }
        connection = established;
        phase = Phase.AWAIT;
        lastByteNanos = System.nanoTime();
        checkSilence();
        if (!reused) {
            listener.onNewConnection();
        }
        listener.onConnected();
        if (finished) {
            return;
        }
        connection.onReadable(this::readResponse);
        if (paused) {
            connection.suspendReads();
        }
        writeRequest();
    }

    private void writeRequest() {
        if (finished) {
            return;
        }
        try {
            if (connection.write(unsent)) {
                connection.suspendWrites();
                requestState = RequestState.SENT;
            } else {
                connection.onWritable(this::writeRequest);
            }
        } catch (IOException e) {
            // A server may respond to a request that it doesn't read, and close the connection.
            connection.suspendWrites();
            requestState = RequestState.FAILED;
            writeFailure = e;
            readResponse();
        }
    }

    /** Reads what has arrived, and passes it on. */
    private void readResponse() {
        if (finished || paused || reading) {
            return;
        }
        reading = true;
        try {
            readTurn(inputBuffer());
        } catch (IOException e) {
            failOrRefuse(e);
        } catch (UncheckedIOException e) {
            failOrRefuse(e.getCause());
        } catch (RuntimeException | VirtualMachineError e) {
            fail(false, new IOException("the response of " + request.address() + " can't be handled: " + e, e));
        } finally {
            reading = false;
            releaseInput();
        }
    }

    private void readTurn(ByteBuffer buffer) throws IOException {
        int readInTurn = 0;
        while (!finished && !paused) {
            ResponseReader.Step step = reader.next(buffer);
            if (step != ResponseReader.Step.MORE) {
                handle(step, buffer.hasRemaining());
                continue;
            }
            if (readInTurn >= MAX_BYTES_PER_TURN) {
                connection.wakeupReads();
                return;
            }
            buffer.clear();
            int count = connection.read(buffer);
            buffer.flip();
            if (count <= 0) {
                handleNoBytes(count < 0);
                return;
            }
            recordBytes();
            readInTurn += count;
        }
    }

    /** A head must be complete within the silence timeout: one that arrives byte by byte is no progress. */
    private void recordBytes() {
        if (phase == Phase.ANSWER) {
            lastByteNanos = System.nanoTime();
        }
    }

    private void handleNoBytes(boolean connectionEnded) throws IOException {
        if (connectionEnded) {
            reader.endConnection();
            confirmRequestRead();
        } else if (requestState == RequestState.FAILED) {
            throw writeFailure;
        } else {
            connection.resumeReads();
        }
    }

    private void handle(ResponseReader.Step step, boolean bytesFollow) throws InvalidResponseException {
        if (step == ResponseReader.Step.HEAD) {
            onHead(reader.head());
        } else if (step == ResponseReader.Step.CONTENT) {
            listener.onBytes(reader.content());
        } else {
            complete(!bytesFollow);
        }
    }

    private void onHead(ResponseHead head) throws InvalidResponseException {
        phase = Phase.ANSWER;
        recordBytes();
        if (request.statedEndRequired() && head.bodyEnd() == BodyEnd.CONNECTION) {
            throw new InvalidResponseException(ResponseDefect.END_NOT_STATED);
        }
        listener.onFraming(head.bodyEnd());
        listener.onHead(head.status(), head.headers());
    }

    /**
     * Completes a response that ended with its connection if the server has read the whole request. A server that
     * fails may close its connection in the middle of both; the end then comes in order, and a reset right after it.
     */
    private void confirmRequestRead() throws InvalidResponseException {
        if (request.body().length == 0) {
            complete(false);
            return;
        }
        if (requestState != RequestState.SENT) {
            throw new InvalidResponseException(ResponseDefect.REQUEST_UNREAD);
        }
        connection.suspendReads();
        resetTimer = thread.executeAfter(
                () -> {
                    if (finished) {
                        return;
                    }
                    if (connection.isReset()) {
                        refuse(new InvalidResponseException(ResponseDefect.REQUEST_UNREAD));
                    } else {
                        complete(false);
                    }
                },
                RESET_TIME.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    private void failOrRefuse(IOException cause) {
        if (cause instanceof InvalidResponseException invalid) {
            refuse(invalid);
        } else {
            fail(false, cause);
        }
    }

    private void refuse(InvalidResponseException invalid) {
        if (!finished) {
            client.reportRefusal(request.address(), invalid.defect());
            fail(false, invalid);
        }
    }

    /** Returns the buffer with the bytes that have been received and not been read yet. */
    private ByteBuffer inputBuffer() {
        if (input == null) {
            input = client.buffers().allocate();
            input.getBuffer().limit(0);
        }
        return input.getBuffer();
    }

    /** Returns the buffer to its pool unless it holds bytes for a paused call. */
    private void releaseInput() {
        boolean isNeeded =
                reading || (!finished && input != null && input.getBuffer().hasRemaining());
        if (input != null && !isNeeded) {
            input.close();
            input = null;
        }
    }

    private void checkSilence() {
        cancelSilenceTimer();
        long silentNanos = System.nanoTime() - lastByteNanos;
        long remainingNanos = request.silenceTimeout().toNanos() - silentNanos;
        if (remainingNanos <= 0 && !paused) {
            fail(true, new IOException(request.address() + " was silent for " + request.silenceTimeout()));
            return;
        }
        long millis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(remainingNanos) + 1);
        silenceTimer = thread.executeAfter(this::checkSilence, millis, TimeUnit.MILLISECONDS);
    }

    private void complete(boolean mayReuse) {
        if (finished) {
            return;
        }
        finished = true;
        cancelTimers();
        if (mayReuse && requestState == RequestState.SENT) {
            client.release(request.address(), thread, connection, reader.head().idleLimit());
        } else {
            // If the server responded before the whole body was sent and the connection were reused, the server would
            // read the rest of the body as the start of the next request.
            connection.close();
        }
        listener.onEnd(reader.head().bodyEnd());
    }

    private void fail(boolean silent, IOException cause) {
        if (finished) {
            return;
        }
        finishWithoutCallback();
        if (silent) {
            client.closeIdleConnections(request.address(), thread);
        }
        listener.onFailure(phase, silent, withMessage(cause));
    }

    /** Returns a failure whose message can be logged. The end of a connection in the middle of a response has none. */
    private IOException withMessage(IOException cause) {
        return cause.getMessage() == null
                ? new IOException(request.address() + " ended the connection before the end of the response", cause)
                : cause;
    }

    /** Does nothing if the call is over: its connection may be in use by another call by now. */
    private void finishWithoutCallback() {
        if (finished) {
            return;
        }
        finished = true;
        cancelTimers();
        if (connection != null) {
            connection.close();
        }
        releaseInput();
    }

    private void cancelTimers() {
        cancelSilenceTimer();
        if (resetTimer != null) {
            resetTimer.remove();
        }
    }

    private void cancelSilenceTimer() {
        if (silenceTimer != null) {
            silenceTimer.remove();
        }
    }
}

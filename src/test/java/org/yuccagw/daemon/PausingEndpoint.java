package org.yuccagw.daemon;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.yuccagw.bench.control.VirtualTime;
import org.yuccagw.core.port.BodyEnd;

/**
 * An endpoint in virtual time that answers each request with numbered events at a fixed pace. Its process can be
 * suspended, after which it continues with all its requests, and killed. A suspended endpoint still accepts
 * connections. A single connection can fall silent for good while the endpoint continues to work on the request. It can
 * also react to requests with errors.
 */
final class PausingEndpoint {
    static final Duration CONNECT_TIME = Duration.ofMillis(1);
    static final String FAULT_BODY = "fault";

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);
    private static final Duration REJECTION_TIME = Duration.ofMillis(2);
    private static final int SERVED = 200;
    private static final int FAILED = 500;
    private static final int UNAVAILABLE = 503;
    private static final Duration HEAD_TIME = Duration.ofMillis(40);
    private static final Duration WITHIN_EVENT = Duration.ofMillis(10);
    private static final Duration BETWEEN_EVENTS = Duration.ofMillis(20);
    private static final Duration BEFORE_END = Duration.ofMillis(60);

    private final VirtualTime time;
    private final String id;
    private final List<Run> active = new ArrayList<>();
    private final Map<Position, Integer> delayed = new EnumMap<>(Position.class);
    private long suspendedUntilNanos;
    private boolean dead;
    private Reaction reaction = Reaction.ANSWER;
    private Runnable killListener = () -> {};
    private Optional<Failure> failure = Optional.empty();
    private boolean unframed;

    PausingEndpoint(VirtualTime time, String id) {
        this.time = time;
        this.id = id;
    }

    /** The position in an answer at which a pause of the endpoint delays it. */
    enum Position {
        BEFORE_HEAD,
        WITHIN_EVENT,
        BETWEEN_EVENTS,
        BEFORE_END
    }

    /** How an endpoint reacts to a request. */
    enum Reaction {
        ANSWER,
        /** It runs the request and answers with an error. */
        FAULT,
        /** It answers that it is unavailable, without a proof that it did not run the request. */
        UNAVAILABLE,
        /** It states that it did not run the request. */
        REJECT,
        /** No connection is established. */
        UNREACHABLE,
        /** It runs the request, and the connection never carries a byte of the answer. */
        SILENT
    }

    /** How an endpoint fails in place of answering a request. */
    enum Failure {
        /** Its process fails when it begins the answer. */
        CRASH,
        /** Its process fails after the first event of the answer. */
        CRASH_AFTER_EVENT,
        /** It resets the connection, while its process continues. */
        RESET
    }

    /** The receiver of the answer to one request. */
    interface AnswerListener {
        void onConnected();

        void onUnreached();

        void onHead(int status, boolean notRun);

        void onBytes(ByteBuffer bytes);

        void onEnd(BodyEnd end);

        void onBroken();
    }

    /** Returns the text of an event. */
    static String event(int number) {
        return "id: " + number + "\ndata: part " + number + "\n\n";
    }

    String id() {
        return id;
    }

    boolean isDead() {
        return dead;
    }

    /** Returns how many answers were delayed at the position by a pause. */
    int delayedAt(Position position) {
        return delayed.getOrDefault(position, 0);
    }

    /** Suspends the process from now on for the given time. */
    void suspend(Duration pause) {
        suspendedUntilNanos = Math.max(suspendedUntilNanos, time.nowNanos() + pause.toNanos());
    }

    /** Sets how the endpoint reacts to further requests. */
    void setReaction(Reaction further) {
        reaction = further;
    }

    /** Sets how the endpoint fails at further requests; empty if it answers them. */
    void setFailure(Optional<Failure> further) {
        failure = further;
    }

    Reaction reaction() {
        return reaction;
    }

    /** Lets further answers have neither a length nor chunks, so that they end with their connections. */
    void sendUnframedAnswers() {
        unframed = true;
    }

    /** Sets what happens when the process is killed or fails. */
    void onKill(Runnable listener) {
        killListener = listener;
    }

    /** Kills the process: all its connections break, and no new one is established. */
    void kill() {
        dead = true;
        for (Run run : List.copyOf(active)) {
            run.finish();
            time.after(Duration.ZERO, unframed ? run::reportClosed : run::reportBroken);
        }
        killListener.run();
    }

    /**
     * Connects and sends a request for an answer.
     *
     * @param afterEvent number of the event after which the answer starts, -1 for the whole answer
     * @param events number of events of the whole answer
     */
    Run send(long afterEvent, int events, Reaction ofRequest, AnswerListener listener) {
        Run run = new Run((int) afterEvent + 1, events, ofRequest, listener);
        time.after(ofRequest == Reaction.UNREACHABLE ? CONNECT_TIMEOUT : CONNECT_TIME, run::connect);
        return run;
    }

    /** A request at this endpoint and its answer. */
    final class Run {
        private final int events;
        private final Reaction ofRequest;
        private final AnswerListener listener;
        private Optional<Failure> ownFailure = failure;
        private int nextEvent;
        private boolean headSent;
        private boolean insideEvent;
        private boolean connected;
        private boolean finished;
        private boolean complete;
        private boolean abandoned;
        private boolean silent;
        private int eventsUntilSilence = Integer.MAX_VALUE;
        private long arrivedNanos;
        private long finishedNanos;

        private Run(int firstEvent, int events, Reaction ofRequest, AnswerListener listener) {
            this.nextEvent = firstEvent;
            this.events = events;
            this.ofRequest = ofRequest;
            this.silent = ofRequest == Reaction.SILENT;
            this.listener = listener;
        }

        PausingEndpoint endpoint() {
            return PausingEndpoint.this;
        }

        /** Lets the connection fall silent for good before the event with this index, -1 for before the head. */
        void fallSilentBefore(int eventCount) {
            eventsUntilSilence = eventCount;
        }

        /** Lets the endpoint fail at this request. */
        void failWith(Failure ofThis) {
            ownFailure = Optional.of(ofThis);
        }

        /** Closes the connection, which the endpoint notices at once. */
        void abandon() {
            abandoned = true;
            if (!finished) {
                finish();
            }
        }

        boolean isConnected() {
            return connected;
        }

        /** Returns whether the endpoint received the request and may have run it. */
        boolean hasArrived() {
            return connected && ofRequest != Reaction.REJECT;
        }

        /** Returns whether the endpoint answers with an error. */
        boolean isFault() {
            return ofRequest == Reaction.FAULT || ofRequest == Reaction.UNAVAILABLE;
        }

        boolean isFinished() {
            return finished;
        }

        boolean isAbandoned() {
            return abandoned;
        }

        /** Returns whether the endpoint sent the whole answer. */
        boolean isComplete() {
            return complete;
        }

        /** Returns whether the answer of this endpoint can still reach the entry, or could if it hadn't left. */
        boolean couldAnswer() {
            return hasArrived() && !isFault() && !dead && !complete && !silent;
        }

        long arrivedNanos() {
            return arrivedNanos;
        }

        /** Returns the time at which the endpoint stopped work on the request, or now if it hasn't. */
        long finishedNanos() {
            return finished ? finishedNanos : time.nowNanos();
        }

        private void connect() {
            if (abandoned) {
                return;
            }
            if (dead || ofRequest == Reaction.UNREACHABLE) {
                finish();
                listener.onUnreached();
                return;
            }
            connected = true;
            arrivedNanos = time.nowNanos();
            active.add(this);
            listener.onConnected();
            scheduleStep(ofRequest == Reaction.REJECT ? REJECTION_TIME : HEAD_TIME);
        }

        private void finish() {
            finished = true;
            finishedNanos = time.nowNanos();
            active.remove(this);
        }

        private void scheduleStep(Duration delay) {
            time.after(delay, this::step);
        }

        private void step() {
            if (finished) {
                return;
            }
            if (suspendedUntilNanos > time.nowNanos()) {
                delayed.merge(position(), 1, Integer::sum);
                time.at(suspendedUntilNanos, this::step);
                return;
            }
            if (ofRequest == Reaction.REJECT || isFault()) {
                sendError();
            } else if (ownFailure.equals(Optional.of(Failure.CRASH))) {
                kill();
            } else if (ownFailure.equals(Optional.of(Failure.RESET))) {
                finish();
                reportBroken();
            } else if (!headSent) {
                sendHead();
            } else if (ownFailure.equals(Optional.of(Failure.CRASH_AFTER_EVENT)) && nextEvent > 0 && !insideEvent) {
                kill();
            } else if (nextEvent >= events) {
                sendEnd();
            } else {
                sendHalfEvent();
            }
        }

        private Position position() {
            if (!headSent) {
                return Position.BEFORE_HEAD;
            }
            if (nextEvent >= events) {
                return Position.BEFORE_END;
            }
            return insideEvent ? Position.WITHIN_EVENT : Position.BETWEEN_EVENTS;
        }

        private void sendHead() {
            headSent = true;
            silent |= eventsUntilSilence < 0;
            scheduleStep(nextEvent < events ? BETWEEN_EVENTS : BEFORE_END);
            if (!silent) {
                listener.onHead(SERVED, false);
            }
        }

        private void sendError() {
            complete = true;
            finish();
            listener.onHead(ofRequest == Reaction.FAULT ? FAILED : UNAVAILABLE, ofRequest == Reaction.REJECT);
            listener.onBytes(ByteBuffer.wrap(FAULT_BODY.getBytes(StandardCharsets.UTF_8)));
            listener.onEnd(bodyEnd());
        }

        private void sendHalfEvent() {
            silent |= nextEvent >= eventsUntilSilence;
            byte[] whole = event(nextEvent).getBytes(StandardCharsets.UTF_8);
            int half = whole.length / 2;
            ByteBuffer bytes =
                    insideEvent ? ByteBuffer.wrap(whole, half, whole.length - half) : ByteBuffer.wrap(whole, 0, half);
            if (insideEvent) {
                nextEvent++;
            }
            insideEvent = !insideEvent;
            scheduleStep(insideEvent ? WITHIN_EVENT : nextEvent < events ? BETWEEN_EVENTS : BEFORE_END);
            if (!silent) {
                listener.onBytes(bytes);
            }
        }

        private void sendEnd() {
            silent |= nextEvent >= eventsUntilSilence;
            complete = true;
            finish();
            if (!silent) {
                listener.onEnd(bodyEnd());
            }
        }

        private BodyEnd bodyEnd() {
            return unframed ? BodyEnd.CONNECTION : BodyEnd.LAST_CHUNK;
        }

        private void reportClosed() {
            if (!abandoned && !silent) {
                listener.onEnd(BodyEnd.CONNECTION);
            }
        }

        private void reportBroken() {
            if (!abandoned && !silent) {
                listener.onBroken();
            }
        }
    }
}

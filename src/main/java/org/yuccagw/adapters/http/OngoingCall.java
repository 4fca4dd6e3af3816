package org.yuccagw.adapters.http;

/** A request in progress. */
public interface OngoingCall {
    /** Cancels the request: closes its connection without calling the listener. May be called on any thread. */
    void cancel();

    /** Stops reading, so that back pressure reaches the sender of the response. Called on the I/O thread only. */
    void pause();

    /** Continues reading after {@link #pause}. Called on the I/O thread only. */
    void resume();
}

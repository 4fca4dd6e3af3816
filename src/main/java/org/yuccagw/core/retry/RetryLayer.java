package org.yuccagw.core.retry;

/** The layers that can retry a request. For each failure class exactly one of them may. */
public enum RetryLayer {
    /** The entry that serves the request. It knows the endpoints and which bytes were sent. */
    ENTRY,
    /** The client library of the caller. It is the only layer that survives the failure of an entry. */
    CLIENT,
    /** The client of the key-value service. It knows which calls can be retried safely. */
    KEY_VALUE_CLIENT,
    /** No layer retries, because another attempt would fail too. */
    NOBODY
}

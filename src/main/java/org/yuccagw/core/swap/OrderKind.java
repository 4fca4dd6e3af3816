package org.yuccagw.core.swap;

/** The kinds of orders to an endpoint. */
public enum OrderKind {
    LOAD_VERSION,
    LOAD_ADAPTER,
    CHANGE_ROLE
}

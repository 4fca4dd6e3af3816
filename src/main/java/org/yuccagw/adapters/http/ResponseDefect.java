package org.yuccagw.adapters.http;

import java.util.Locale;

/** Why a response is refused. The texts are fixed, so that nothing that a server sent gets into a log. */
public enum ResponseDefect {
    /** The first line isn't that of a response. */
    STATUS_LINE("its first line is no status line"),
    /** The status isn't one of a final response, or of an interim response that a client may ignore. */
    STATUS("its status is none that can be used"),
    /** A line doesn't end with CR LF, or holds a control character. */
    CONTROL_CHARACTER("a line holds a control character"),
    /** A line of the head or of the trailers isn't a name, a colon and a value. */
    FIELD("a line is no header field"),
    /** The value of a field that a request depends on can't be read. */
    FIELD_VALUE("a field has a value that can't be read"),
    /** The length isn't a single decimal number. */
    LENGTH("its length can't be read"),
    /** The transfer coding isn't {@code chunked} alone. */
    TRANSFER_CODING("its transfer coding can't be read"),
    /** Two fields contradict each other on where the body ends. */
    FRAMING("its fields contradict each other on the end of the body"),
    /** The size of a chunk can't be read, or the chunk doesn't end where its size says. */
    CHUNK("a chunk can't be read"),
    /** The bytes beside the content exceed their limit. */
    OVERHEAD("it has too many bytes beside its content"),
    /** Neither a length nor chunks show the end of the body, though the request requires it. */
    END_NOT_STATED("nothing but the end of its connection shows its end"),
    /** It ended with its connection although the server had not read the whole request. */
    REQUEST_UNREAD("it ended with its connection before the request was read");

    private final String text;

    ResponseDefect(String text) {
        this.text = text;
    }

    /** Returns the name for logs and metrics. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns a description for error messages. */
    public String text() {
        return text;
    }
}

package org.yuccagw.adapters.http;

import java.io.IOException;

/** A response that isn't valid HTTP, or whose end can't be told from that of a broken connection. */
public final class InvalidResponseException extends IOException {
    private static final long serialVersionUID = 1L;

    private final ResponseDefect defect;

    public InvalidResponseException(ResponseDefect defect) {
        super("the response is refused: " + defect.text());
        this.defect = defect;
    }

    public ResponseDefect defect() {
        return defect;
    }
}

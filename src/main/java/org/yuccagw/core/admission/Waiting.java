package org.yuccagw.core.admission;

import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.WorkspaceId;

/**
 * A request that waits to be let in.
 *
 * @param askedNanos when it was asked for
 */
record Waiting(AdmissionRequested asked, long askedNanos) {
    WorkspaceId workspace() {
        return asked.workspace();
    }

    ServiceName service() {
        return asked.service();
    }

    String className() {
        return asked.className();
    }

    /** Work that it may cause in tokens; a plain call counts as one. */
    long cost() {
        return Math.max(1, asked.promptTokens() + asked.answerTokens());
    }
}

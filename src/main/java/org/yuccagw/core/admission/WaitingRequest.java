package org.yuccagw.core.admission;

import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.WorkspaceId;

/**
 * A request that is waiting for admission.
 *
 * @param admission the admission request of the caller
 * @param requestedNanos monotonic time at which admission was requested
 */
record WaitingRequest(AdmissionRequested admission, long requestedNanos) {
    WorkspaceId workspace() {
        return admission.workspace();
    }

    ServiceName service() {
        return admission.service();
    }

    String className() {
        return admission.className();
    }

    /** Returns the maximum number of tokens that the request may process. A plain call counts as one token. */
    long costTokens() {
        return Math.max(1, admission.promptTokens() + admission.answerTokens());
    }
}

package org.yuccagw.adapters.serving;

import io.undertow.util.HeaderMap;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.yuccagw.core.deployment.WorkspaceAccess;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.fleet.EntryContact;
import org.yuccagw.core.forward.EndpointAnswerHead;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.placing.PlacementDecision;

/** How callers and endpoints spell what they say; it decides nothing. */
public interface WireProtocol {
    /**
     * Reads the head of a caller's request.
     *
     * @throws YuccagwException of kind MALFORMED_HEAD
     */
    CallerHead readHead(HeaderMap headers) throws YuccagwException;

    /** The head of one attempt. */
    HeaderMap attemptHeaders(
            CallerHead head,
            Optional<WorkspaceAccess> workspace,
            PlacementDecision.Placed placed,
            Duration left,
            long afterEvent);

    /** What decides about an endpoint's answer. */
    EndpointAnswerHead readAnswer(int status, HeaderMap headers, RequestId request, EndpointId expected);

    /** The endpoint's headers that go on to the caller. */
    HeaderMap answerHeaders(HeaderMap endpointHeaders);

    /** The value of {@code Retry-After}. */
    String retryAfter(Duration wait);

    boolean isReadiness(String path);

    boolean isDirectory(String path);

    /** The query parameter in which a caller names its failure domain to the directory. */
    String domainParameter();

    /** The body of the directory's answer. */
    String directory(List<EntryContact> entries, Duration timeToLive);
}

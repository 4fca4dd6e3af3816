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

/**
 * Encodes and decodes the headers, paths and bodies that are exchanged with callers and endpoints. Contains no routing
 * decisions.
 */
public interface WireProtocol {
    /**
     * Decodes the head of a caller's request.
     *
     * @throws YuccagwException of kind MALFORMED_HEAD
     */
    CallerHead readCallerHead(HeaderMap headers) throws YuccagwException;

    /**
     * Returns the headers of one attempt.
     *
     * @param remaining time left until the deadline of the request
     * @param afterEvent id of the event after which the stream resumes, -1 for the whole stream
     */
    HeaderMap attemptHeaders(
            CallerHead head,
            Optional<WorkspaceAccess> workspace,
            PlacementDecision.Placed placed,
            Duration remaining,
            long afterEvent);

    /**
     * Decodes the part of an endpoint's answer that decides how the request continues.
     *
     * @throws java.io.UncheckedIOException if a field that the request depends on can't be read
     */
    EndpointAnswerHead readAnswerStart(int status, HeaderMap headers, RequestId request, EndpointId expected);

    /** Returns the headers of an endpoint's answer that are forwarded to the caller. */
    HeaderMap answerHeaders(HeaderMap endpointHeaders);

    /** Returns the value of the header {@code Retry-After}. */
    String formatRetryAfter(Duration delay);

    /** Returns whether the path is that of readiness checks. */
    boolean isReadinessPath(String path);

    /** Returns whether the path is that of the directory. */
    boolean isDirectoryPath(String path);

    /** Returns the name of the query parameter of the directory that holds the failure domain of the caller. */
    String domainParameter();

    /** Returns the body of the directory's answer. */
    String directoryBody(List<EntryContact> entries, Duration timeToLive);
}

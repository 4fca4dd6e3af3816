package org.yuccagw.platform;

import io.undertow.util.HeaderMap;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.yuccagw.adapters.serving.CallerHead;
import org.yuccagw.adapters.serving.WireProtocol;
import org.yuccagw.core.deployment.WorkspaceAccess;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.fleet.EntryContact;
import org.yuccagw.core.forward.EndpointAnswerHead;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.placing.PlacementDecision;

/** Reads and writes the headers and bodies by which the platform's callers and endpoints communicate with an entry. */
public final class PlatformWireProtocol implements WireProtocol {
    private PlatformWireProtocol() {}

    public static PlatformWireProtocol create() {
        return new PlatformWireProtocol();
    }

    @Override
    public CallerHead readCallerHead(HeaderMap headers) throws YuccagwException {
        return CallerHeadReader.read(headers);
    }

    @Override
    public HeaderMap attemptHeaders(
            CallerHead head,
            Optional<WorkspaceAccess> workspace,
            PlacementDecision.Placed placed,
            Duration remaining,
            long afterEvent) {
        return EndpointHeaders.requestHeaders(head, workspace, placed, remaining, afterEvent);
    }

    @Override
    public EndpointAnswerHead readAnswerStart(int status, HeaderMap headers, RequestId request, EndpointId expected) {
        return EndpointHeaders.readAnswer(status, headers, request, expected);
    }

    @Override
    public HeaderMap answerHeaders(HeaderMap endpointHeaders) {
        return EndpointHeaders.forwardedHeaders(endpointHeaders);
    }

    @Override
    public String formatRetryAfter(Duration wait) {
        return EndpointHeaders.retryAfter(wait);
    }

    @Override
    public boolean isReadinessPath(String path) {
        return EntryResources.isReadinessPath(path);
    }

    @Override
    public boolean isDirectoryPath(String path) {
        return EntryResources.isDirectoryPath(path);
    }

    @Override
    public String domainParameter() {
        return EntryResources.domainParameter();
    }

    @Override
    public String directoryBody(List<EntryContact> entries, Duration timeToLive) {
        return EntryResources.directoryBody(entries, timeToLive);
    }
}

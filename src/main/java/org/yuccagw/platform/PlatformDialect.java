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

/** How callers and endpoints of the platform spell requests and answers. */
public final class PlatformDialect implements WireProtocol {
    private PlatformDialect() {}

    public static PlatformDialect create() {
        return new PlatformDialect();
    }

    @Override
    public CallerHead readCallerHead(HeaderMap headers) throws YuccagwException {
        return CallerHeads.read(headers);
    }

    @Override
    public HeaderMap attemptHeaders(
            CallerHead head,
            Optional<WorkspaceAccess> workspace,
            PlacementDecision.Placed placed,
            Duration left,
            long afterEvent) {
        return EndpointHeads.request(head, workspace, placed, left, afterEvent);
    }

    @Override
    public EndpointAnswerHead readAnswerStart(int status, HeaderMap headers, RequestId request, EndpointId expected) {
        return EndpointHeads.answer(status, headers, request, expected);
    }

    @Override
    public HeaderMap answerHeaders(HeaderMap endpointHeaders) {
        return EndpointHeads.forwarded(endpointHeaders);
    }

    @Override
    public String formatRetryAfter(Duration wait) {
        return EndpointHeads.retryAfter(wait);
    }

    @Override
    public boolean isReadinessPath(String path) {
        return EntryPages.isReadiness(path);
    }

    @Override
    public boolean isDirectoryPath(String path) {
        return EntryPages.isDirectory(path);
    }

    @Override
    public String domainParameter() {
        return EntryPages.domainParameter();
    }

    @Override
    public String directoryBody(List<EntryContact> entries, Duration timeToLive) {
        return EntryPages.directory(entries, timeToLive);
    }
}

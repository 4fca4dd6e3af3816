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
public final class PlatformWireProtocol implements WireProtocol {
    private PlatformWireProtocol() {}

    public static PlatformWireProtocol create() {
        return new PlatformWireProtocol();
    }

    @Override
    public CallerHead readHead(HeaderMap headers) throws YuccagwException {
        return CallerHeadReader.read(headers);
    }

    @Override
    public HeaderMap attemptHeaders(
            CallerHead head,
            Optional<WorkspaceAccess> workspace,
            PlacementDecision.Placed placed,
            Duration left,
            long afterEvent) {
        return EndpointHeaders.request(head, workspace, placed, left, afterEvent);
    }

    @Override
    public EndpointAnswerHead readAnswer(int status, HeaderMap headers, RequestId request, EndpointId expected) {
        return EndpointHeaders.answer(status, headers, request, expected);
    }

    @Override
    public HeaderMap answerHeaders(HeaderMap endpointHeaders) {
        return EndpointHeaders.forwarded(endpointHeaders);
    }

    @Override
    public String retryAfter(Duration wait) {
        return EndpointHeaders.retryAfter(wait);
    }

    @Override
    public boolean isReadiness(String path) {
        return EntryResources.isReadiness(path);
    }

    @Override
    public boolean isDirectory(String path) {
        return EntryResources.isDirectory(path);
    }

    @Override
    public String domainParameter() {
        return EntryResources.domainParameter();
    }

    @Override
    public String directory(List<EntryContact> entries, Duration timeToLive) {
        return EntryResources.directory(entries, timeToLive);
    }
}

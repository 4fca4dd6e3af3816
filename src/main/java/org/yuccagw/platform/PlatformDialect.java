package org.yuccagw.platform;

import io.undertow.util.HeaderMap;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.yuccagw.adapters.serving.CallerHead;
import org.yuccagw.adapters.serving.Dialect;
import org.yuccagw.core.deployment.WorkspaceAccess;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.fleet.EntryContact;
import org.yuccagw.core.forward.AnswerStart;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.placing.PlacementDecision;

/** Reads and writes the headers and bodies by which the platform's callers and endpoints communicate with an entry. */
public final class PlatformDialect implements Dialect {
    private PlatformDialect() {}

    public static PlatformDialect create() {
        return new PlatformDialect();
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
            Duration remaining,
            long afterEvent) {
        return EndpointHeaders.requestHeaders(head, workspace, placed, remaining, afterEvent);
    }

    @Override
    public AnswerStart readAnswer(int status, HeaderMap headers, RequestId request, EndpointId expected) {
        return EndpointHeaders.readAnswer(status, headers, request, expected);
    }

    @Override
    public HeaderMap answerHeaders(HeaderMap endpointHeaders) {
        return EndpointHeaders.forwardedHeaders(endpointHeaders);
    }

    @Override
    public String retryAfter(Duration wait) {
        return EndpointHeaders.retryAfter(wait);
    }

    @Override
    public boolean isReadiness(String path) {
        return EntryResources.isReadinessPath(path);
    }

    @Override
    public boolean isDirectory(String path) {
        return EntryResources.isDirectoryPath(path);
    }

    @Override
    public String domainParameter() {
        return EntryResources.domainParameter();
    }

    @Override
    public String directory(List<EntryContact> entries, Duration timeToLive) {
        return EntryResources.directoryAnswer(entries, timeToLive);
    }
}

package org.yuccagw.core.placing;

import java.util.Optional;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.origin.StreamOrigin;
import org.yuccagw.core.origin.StreamOriginsComponent;
import org.yuccagw.core.origin.StreamQuery;

/**
 * Binds the requests for streams that have begun to the service and the software version that began them, before they
 * are placed. A stream of which that isn't known is refused: what isn't known isn't any version.
 */
public final class ContinuationComponent implements ControlComponent {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final StreamOriginsComponent origins;
    private ControlContext context;

    private ContinuationComponent(StreamOriginsComponent origins) {
        this.origins = origins;
    }

    /**
     * Creates the component of one entry.
     *
     * @param origins knows what began streams
     */
    public static ContinuationComponent of(StreamOriginsComponent origins) {
        return new ContinuationComponent(origins);
    }

    @Override
    public void start(ControlContext startContext) {
        context = startContext;
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof PlacementRequest request && request.continuation().isUnresolved()) {
            long askedNanos = context.nowNanos();
            origins.find(queryOf(request), origin -> onFound(request, origin, askedNanos));
        }
    }

    private static StreamQuery queryOf(PlacementRequest request) {
        boolean leadsToOne = request.route().shares().size() == 1;
        return new StreamQuery(
                request.continuation().begunBy().orElseThrow(),
                leadsToOne ? Optional.of(request.service()) : Optional.empty(),
                request.route().timeout());
    }

    private void onFound(PlacementRequest request, Optional<StreamOrigin> origin, long askedNanos) {
        long millis = (context.nowNanos() - askedNanos) / NANOS_PER_MILLI;
        if (origin.isEmpty()) {
            RequestId begunBy = request.continuation().begunBy().orElseThrow();
            refuse(request, ErrorKind.STREAM_UNKNOWN.raise(begunBy), "stream unknown");
        } else if (!request.route().leadsTo(origin.get().service())) {
            ServiceName service = origin.get().service();
            YuccagwException error =
                    ErrorKind.SOFTWARE_GONE.raise(service, origin.get().software());
            refuse(request, error, "route changed");
        } else {
            context.raise(request.continuing(origin.get()).afterWaiting(millis));
        }
    }

    private void refuse(PlacementRequest request, YuccagwException error, String reason) {
        context.perform(Decision.of("refused")
                .with("request", request.request())
                .with("route", request.route().name())
                .with(
                        "resumes",
                        request.continuation().begunBy().map(RequestId::value).orElse(""))
                .with("reason", reason));
        context.reply(() -> request.reply().accept(new PlacementDecision.Refused(error)));
    }
}

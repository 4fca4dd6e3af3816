package org.yuccagw.core.origin;

import com.google.common.collect.Comparators;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.follow.CopyConfirmed;

/**
 * Determines the origin of a stream that nobody knows, if its service has had only one software version for as long as
 * the stream may have lasted.
 *
 * <p>The version of an endpoint is registered before its first stream begins, so a copy of the registrations that was
 * confirmed after the stream was taken up includes it. An older copy doesn't suffice: an entry that is cut off or was
 * suspended doesn't see that another version has joined.
 */
final class OnlyVersion {
    private final ListedSoftware listedSoftware;
    private final Runnable confirmCopy;
    private List<Waiting> waiting = new ArrayList<>();
    private ControlContext context;

    private record Waiting(StreamQuery query, Consumer<Optional<StreamOrigin>> reply, long sinceNanos) {}

    /**
     * Creates the determination for one entry.
     *
     * @param listedSoftware the versions that the copy of the registrations shows
     * @param confirmCopy asks for a {@link CopyConfirmed}
     */
    OnlyVersion(ListedSoftware listedSoftware, Runnable confirmCopy) {
        this.listedSoftware = listedSoftware;
        this.confirmCopy = confirmCopy;
    }

    void start(ControlContext startContext) {
        context = startContext;
    }

    /**
     * Determines the origin of a stream.
     *
     * @param reply called once on the control thread, with empty if the service had several versions or the copy can't
     *     be confirmed
     */
    void find(StreamQuery query, Consumer<Optional<StreamOrigin>> reply) {
        if (originOf(query).isEmpty()) {
            reply.accept(Optional.empty());
            return;
        }
        waiting.add(new Waiting(query, reply, context.nowNanos()));
        confirmCopy.run();
    }

    void onConfirmed(CopyConfirmed confirmed) {
        List<Waiting> all = waiting;
        waiting = new ArrayList<>();
        for (Waiting each : all) {
            if (confirmed.askedNanos() - each.sinceNanos() < 0) {
                waiting.add(each);
            } else {
                each.reply().accept(confirmed.successful() ? originOf(each.query()) : Optional.empty());
            }
        }
    }

    private Optional<StreamOrigin> originOf(StreamQuery query) {
        Duration maxAge =
                Comparators.max(query.maxAge().plus(OriginRecords.RETURN_MARGIN), OriginRecords.MAX_RETENTION);
        return query.onlyService()
                .flatMap(service -> listedSoftware
                        .onlyVersionOf(service, maxAge, context.nowNanos())
                        .map(software -> new StreamOrigin(query.request(), service, software)));
    }
}

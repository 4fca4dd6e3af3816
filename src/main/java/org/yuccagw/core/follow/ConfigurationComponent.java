package org.yuccagw.core.follow;

import java.util.Optional;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.ControlSnapshot;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.deployment.Deployment;

/**
 * Holds the configuration in force on this entry.
 *
 * <p>Invariant: the version in force only increases. A configuration that arrives late, through a slow answer or from a
 * peer that lags behind, replaces the current one only if its version is higher.
 *
 * <p>The first configuration comes into force only when this entry has been told what others know better than the
 * key-value service. Until then it has none, so that it serves nothing.
 */
public final class ConfigurationComponent implements ControlComponent {
    private Optional<Deployment> current = Optional.empty();
    /** The newest configuration that was received before the first one came into force. */
    private Optional<KeyValueRecordUpdated> awaitingStart = Optional.empty();

    private boolean started;

    private ConfigurationComponent() {}

    public static ConfigurationComponent create() {
        return new ConfigurationComponent();
    }

    /** Returns the configuration in force; empty if none has been received yet. */
    public Optional<Deployment> current() {
        return current;
    }

    @Override
    public void handle(ControlEvent event, ControlContext context) {
        if (event instanceof KeyValueFollowComponent.Started) {
            started = true;
            awaitingStart.ifPresent(updated -> apply(updated, context));
            awaitingStart = Optional.empty();
        } else if (event instanceof KeyValueRecordUpdated updated
                && updated.record() instanceof KeyValueRecord.Configured) {
            if (started) {
                apply(updated, context);
            } else if (awaitingStart.isEmpty() || versionOf(updated) > versionOf(awaitingStart.get())) {
                awaitingStart = Optional.of(updated);
            }
        }
    }

    private static long versionOf(KeyValueRecordUpdated updated) {
        return ((KeyValueRecord.Configured) updated.record()).deployment().version();
    }

    private void apply(KeyValueRecordUpdated updated, ControlContext context) {
        Deployment received = ((KeyValueRecord.Configured) updated.record()).deployment();
        long before = current.map(Deployment::version).orElse(0L);
        if (current.isPresent() && received.version() <= before) {
            return;
        }
        context.perform(Decision.of("configuration-applied")
                .with("version", received.version())
                .with("before", before)
                .with("revision", updated.revision())
                .with("routes", received.routeCount()));
        current = Optional.of(received);
        context.raise(new Applied(received));
    }

    /** Raised when a newer configuration has come into force. */
    public record Applied(Deployment deployment) implements ControlEvent {}

    @Override
    public void contribute(ControlSnapshot.Builder snapshot) {
        current.ifPresent(deployment -> snapshot.put(Deployment.class, deployment));
    }
}

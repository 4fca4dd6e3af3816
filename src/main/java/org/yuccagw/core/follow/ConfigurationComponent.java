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
 */
public final class ConfigurationComponent implements ControlComponent {
    private Optional<Deployment> current = Optional.empty();

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
        if (event instanceof KeyValueRecordUpdated updated
                && updated.record() instanceof KeyValueRecord.Configured configured) {
            Deployment received = configured.deployment();
            boolean newer =
                    current.map(known -> received.version() > known.version()).orElse(true);
            if (newer) {
                context.perform(Decision.of("configuration-applied")
                        .with("version", received.version())
                        .with("before", current.map(Deployment::version).orElse(0L))
                        .with("revision", updated.revision())
                        .with("routes", received.routeCount()));
                current = Optional.of(received);
                context.raise(new Applied(received));
            }
        }
    }

    /** Raised when a newer configuration has come into force. */
    public record Applied(Deployment deployment) implements ControlEvent {}

    @Override
    public void contribute(ControlSnapshot.Builder snapshot) {
        current.ifPresent(deployment -> snapshot.put(Deployment.class, deployment));
    }
}

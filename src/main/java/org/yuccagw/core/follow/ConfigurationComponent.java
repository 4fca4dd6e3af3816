package org.yuccagw.core.follow;

import java.util.Optional;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.ControlSnapshot;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.deployment.Deployment;

/**
 * The configuration in force on this entry. It never goes back: whatever arrives late, by a slow answer or from a peer
 * that lags, only a higher version replaces the present one.
 */
public final class ConfigurationComponent implements ControlComponent {
    private Optional<Deployment> present = Optional.empty();

    private ConfigurationComponent() {}

    public static ConfigurationComponent create() {
        return new ConfigurationComponent();
    }

    public Optional<Deployment> present() {
        return present;
    }

    @Override
    public void handle(ControlEvent event, ControlContext context) {
        if (event instanceof KeyValueRecordUpdated updated
                && updated.record() instanceof KeyValueRecord.Configured configured) {
            Deployment offered = configured.deployment();
            boolean newer =
                    present.map(known -> offered.version() > known.version()).orElse(true);
            if (newer) {
                context.perform(Decision.of("configuration-applied")
                        .with("version", offered.version())
                        .with("before", present.map(Deployment::version).orElse(0L))
                        .with("revision", updated.revision())
                        .with("routes", offered.routeCount()));
                present = Optional.of(offered);
                context.raise(new Applied(offered));
            }
        }
    }

    /** Another configuration is in force. */
    public record Applied(Deployment deployment) implements ControlEvent {}

    @Override
    public void contribute(ControlSnapshot.Builder snapshot) {
        present.ifPresent(deployment -> snapshot.put(Deployment.class, deployment));
    }
}

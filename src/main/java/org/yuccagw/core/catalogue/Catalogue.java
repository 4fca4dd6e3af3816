package org.yuccagw.core.catalogue;

import com.google.common.collect.ImmutableSortedMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.WorkspaceId;

/**
 * The operators' catalogue at one revision: an immutable document with all settings that operators control.
 *
 * <p>Revisions only increase, and two catalogues with the same revision are equal. An entry daemon applies a catalogue
 * only if its revision is higher than that of the catalogue in force, so an accepted change never reverts.
 *
 * @param revision the revision, starting at 1; 0 while there is no catalogue
 * @param system settings of the whole deployment
 * @param classes request classes by name
 * @param workspaces workspaces by id
 * @param services services by name
 * @param operators the operators who may edit the catalogue
 */
public record Catalogue(
        long revision,
        SystemLimits system,
        ImmutableSortedMap<String, RequestClass> classes,
        ImmutableSortedMap<WorkspaceId, Workspace> workspaces,
        ImmutableSortedMap<ServiceName, Service> services,
        List<OperatorKey> operators) {
    private static final Catalogue EMPTY = new Catalogue(
            0,
            SystemLimits.defaults(),
            ImmutableSortedMap.of(),
            ImmutableSortedMap.of(),
            ImmutableSortedMap.of(),
            List.of());

    public Catalogue {
        operators = List.copyOf(operators);
    }

    /** Returns the catalogue of revision 0, which has no contents but the default system limits. */
    public static Catalogue empty() {
        return EMPTY;
    }

    /** Creates a catalogue from maps in any order. */
    public static Catalogue of(
            long revision,
            SystemLimits system,
            Map<String, RequestClass> classes,
            Map<WorkspaceId, Workspace> workspaces,
            Map<ServiceName, Service> services,
            List<OperatorKey> operators) {
        return new Catalogue(
                revision,
                system,
                ImmutableSortedMap.copyOf(classes),
                ImmutableSortedMap.copyOf(workspaces),
                ImmutableSortedMap.copyOf(services),
                operators);
    }

    /** Returns a catalogue with the same contents and another revision. */
    public Catalogue atRevision(long newRevision) {
        return new Catalogue(newRevision, system, classes, workspaces, services, operators);
    }

    public Optional<Service> service(ServiceName name) {
        return Optional.ofNullable(services.get(name));
    }

    public Optional<Workspace> workspace(WorkspaceId id) {
        return Optional.ofNullable(workspaces.get(id));
    }

    public Optional<RequestClass> requestClass(String name) {
        return Optional.ofNullable(classes.get(name));
    }

    /** Returns the workspace to which the bearer key with this hash belongs. */
    public Optional<Workspace> workspaceByKeyHash(String keyHash) {
        return workspaces.values().stream()
                .filter(workspace -> workspace.keyHashes().contains(keyHash))
                .findFirst();
    }
}

package org.yuccagw.core.control;

import com.google.common.collect.ImmutableClassToInstanceMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The control state that traffic threads read: immutable, with at most one object for each component.
 *
 * <p>Example: {@code snapshot.find(DirectorySnapshot.class)} is empty until the membership component contributes for
 * the first time.
 */
public final class ControlSnapshot {
    private static final ControlSnapshot EMPTY = new ControlSnapshot(ImmutableClassToInstanceMap.of());

    private final ImmutableClassToInstanceMap<Object> states;

    private ControlSnapshot(ImmutableClassToInstanceMap<Object> states) {
        this.states = states;
    }

    public static ControlSnapshot empty() {
        return EMPTY;
    }

    /** Returns the state that a component contributed under {@code type}. */
    public <T> Optional<T> find(Class<T> type) {
        return Optional.ofNullable(states.getInstance(type));
    }

    /** Returns a builder to which components add their state. */
    public static Builder builder() {
        return EMPTY.toBuilder();
    }

    Builder toBuilder() {
        return new Builder(new HashMap<>(states));
    }

    /** Collects the states of the components; a component that contributes nothing keeps its earlier state. */
    public static final class Builder {
        private final Map<Class<? extends Object>, Object> states;

        private Builder(Map<Class<? extends Object>, Object> states) {
            this.states = states;
        }

        public <T> Builder put(Class<T> type, T state) {
            states.put(type, state);
            return this;
        }

        public ControlSnapshot build() {
            return new ControlSnapshot(ImmutableClassToInstanceMap.copyOf(states));
        }
    }
}

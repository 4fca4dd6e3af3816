package org.yuccagw.core.control;

import com.google.common.collect.ImmutableClassToInstanceMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The control state that traffic threads read: immutable, one object for each part that has something to say.
 *
 * <p>Example: {@code snapshot.part(DirectorySnapshot.class)} is empty until membership contributed for the first time.
 */
public final class ControlSnapshot {
    private static final ControlSnapshot EMPTY = new ControlSnapshot(ImmutableClassToInstanceMap.of());

    private final ImmutableClassToInstanceMap<Object> parts;

    private ControlSnapshot(ImmutableClassToInstanceMap<Object> parts) {
        this.parts = parts;
    }

    public static ControlSnapshot empty() {
        return EMPTY;
    }

    /** The state that a part contributed under {@code type}. */
    public <T> Optional<T> part(Class<T> type) {
        return Optional.ofNullable(parts.getInstance(type));
    }

    /** A state to which parts add. */
    public static Builder builder() {
        return EMPTY.toBuilder();
    }

    Builder toBuilder() {
        return new Builder(new HashMap<>(parts));
    }

    /** Collects what the parts contribute; a part that contributes nothing keeps its earlier state. */
    public static final class Builder {
        private final Map<Class<? extends Object>, Object> parts;

        private Builder(Map<Class<? extends Object>, Object> parts) {
            this.parts = parts;
        }

        public <T> Builder put(Class<T> type, T state) {
            parts.put(type, state);
            return this;
        }

        public ControlSnapshot build() {
            return new ControlSnapshot(ImmutableClassToInstanceMap.copyOf(parts));
        }
    }
}

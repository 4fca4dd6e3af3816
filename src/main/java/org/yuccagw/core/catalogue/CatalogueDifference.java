package org.yuccagw.core.catalogue;

import java.lang.reflect.RecordComponent;
import java.util.Map;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Computes the fields in which two catalogues differ, as paths like {@code
 * services/assistant/limits/requestsPerSecond}.
 *
 * <p>Records are compared by component and maps by key, through reflection, so fields that are added to the catalogue
 * later are covered. A map entry that exists on one side only is reported as a whole.
 */
public final class CatalogueDifference {
    private final SortedSet<String> paths = new TreeSet<>();

    private CatalogueDifference() {}

    /** Returns the paths of all differing fields. Revisions are ignored. */
    public static SortedSet<String> between(Catalogue left, Catalogue right) {
        CatalogueDifference difference = new CatalogueDifference();
        difference.compare("", left.atRevision(0), right.atRevision(0));
        return difference.paths;
    }

    private void compare(String path, Object left, Object right) {
        if (left.equals(right)) {
            return;
        }
        if (left instanceof Record && left.getClass() == right.getClass()) {
            compareRecords(path, left, right);
        } else if (left instanceof Map<?, ?> leftMap && right instanceof Map<?, ?> rightMap) {
            compareMaps(path, leftMap, rightMap);
        } else if (left instanceof Optional<?> leftOptional
                && right instanceof Optional<?> rightOptional
                && leftOptional.isPresent()
                && rightOptional.isPresent()) {
            compare(path, leftOptional.get(), rightOptional.get());
        } else {
            paths.add(path);
        }
    }

    private void compareRecords(String path, Object left, Object right) {
        RecordComponent[] components = left.getClass().getRecordComponents();
        if (components.length == 1) {
            paths.add(path);
            return;
        }
        for (RecordComponent component : components) {
            compare(
                    joinPath(path, component.getName()),
                    componentValue(component, left),
                    componentValue(component, right));
        }
    }

    private void compareMaps(String path, Map<?, ?> left, Map<?, ?> right) {
        left.forEach((key, leftValue) -> {
            Object rightValue = right.get(key);
            if (rightValue == null) {
                paths.add(joinPath(path, key.toString()));
            } else {
                compare(joinPath(path, key.toString()), leftValue, rightValue);
            }
        });
        right.keySet().stream()
                .filter(key -> !left.containsKey(key))
                .forEach(key -> paths.add(joinPath(path, key.toString())));
    }

    private static Object componentValue(RecordComponent component, Object owner) {
        try {
            return component.getAccessor().invoke(owner);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("a record of the catalogue must be public: " + owner.getClass(), e);
        }
    }

    private static String joinPath(String path, String name) {
        return path.isEmpty() ? name : path + "/" + name;
    }
}

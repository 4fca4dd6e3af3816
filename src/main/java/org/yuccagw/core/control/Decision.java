package org.yuccagw.core.control;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One line of the decision log: the decision, its inputs, and the outcome. Decisions explain a failed request
 * afterwards, so each decision on a request contains the request's id.
 *
 * <p>Example: {@code Decision.of("endpoint-avoided").with("endpoint", id).with("failures", 3)}.
 */
public final class Decision implements ControlAction {
    private final String event;
    private final Map<String, String> fields = new LinkedHashMap<>();

    private Decision(String event) {
        this.event = event;
    }

    /** Creates a line of one kind; the kind is a constant that operators search the log for. */
    public static Decision of(String event) {
        return new Decision(event);
    }

    public Decision with(String name, Object value) {
        fields.put(name, String.valueOf(value));
        return this;
    }

    public String event() {
        return event;
    }

    /** Returns names and values in the order in which they were added. */
    public Map<String, String> fields() {
        return fields;
    }
}

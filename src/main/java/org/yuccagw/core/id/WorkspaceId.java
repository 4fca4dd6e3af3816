package org.yuccagw.core.id;

/**
 * The id of a workspace, the unit of isolation for prompts, cache blocks, answers and limits.
 *
 * @param value the name of the workspace in the catalogue, such as {@code statistics-office}
 */
public record WorkspaceId(String value) implements Comparable<WorkspaceId> {
    public WorkspaceId {
        Names.requireNonBlank("WorkspaceId", value);
    }

    public static WorkspaceId of(String value) {
        return new WorkspaceId(value);
    }

    @Override
    public int compareTo(WorkspaceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof WorkspaceId that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}

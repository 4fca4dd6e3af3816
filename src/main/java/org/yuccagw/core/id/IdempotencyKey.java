package org.yuccagw.core.id;

/**
 * A caller's key for one operation, by which a repeated request runs at most once.
 *
 * @param value the value of the header {@code Idempotency-Key}, 1 to 255 visible ASCII characters
 */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {
    public IdempotencyKey {
        Names.requireNonBlank("IdempotencyKey", value);
    }

    public static IdempotencyKey of(String value) {
        return new IdempotencyKey(value);
    }

    @Override
    public int compareTo(IdempotencyKey other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

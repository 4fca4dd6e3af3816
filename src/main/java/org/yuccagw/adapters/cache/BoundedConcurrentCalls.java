package org.yuccagw.adapters.cache;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Makes an asynchronous call for each item of a list, with a limit on the number of concurrent calls, and reports the
 * items whose calls succeeded.
 */
final class BoundedConcurrentCalls<T> {
    private final List<T> items;
    private final int maxConcurrent;
    private final BiConsumer<T, Consumer<Boolean>> asyncCall;
    private final List<T> succeeded = new ArrayList<>();
    private Consumer<List<T>> onDone;
    private int nextIndex;
    private int completedCount;

    private BoundedConcurrentCalls(List<T> items, int maxConcurrent, BiConsumer<T, Consumer<Boolean>> asyncCall) {
        this.items = List.copyOf(items);
        this.maxConcurrent = maxConcurrent;
        this.asyncCall = asyncCall;
    }

    static <T> BoundedConcurrentCalls<T> of(
            List<T> items, int maxConcurrent, BiConsumer<T, Consumer<Boolean>> asyncCall) {
        return new BoundedConcurrentCalls<>(items, maxConcurrent, asyncCall);
    }

    /**
     * Starts the calls without blocking. {@code whenDone} receives the successful items after the last call has ended.
     */
    void run(Consumer<List<T>> whenDone) {
        onDone = whenDone;
        if (items.isEmpty()) {
            whenDone.accept(List.of());
            return;
        }
        for (int i = 0; i < Math.min(maxConcurrent, items.size()); i++) {
            startNext();
        }
    }

    private void startNext() {
        T item;
        synchronized (this) {
            if (nextIndex == items.size()) {
                return;
            }
            item = items.get(nextIndex++);
        }
        asyncCall.accept(item, success -> onCallEnded(item, success));
    }

    private void onCallEnded(T item, boolean success) {
        boolean allCompleted;
        synchronized (this) {
            if (success) {
                succeeded.add(item);
            }
            completedCount++;
            allCompleted = completedCount == items.size();
        }
        if (allCompleted) {
            onDone.accept(List.copyOf(succeeded));
        } else {
            startNext();
        }
    }
}

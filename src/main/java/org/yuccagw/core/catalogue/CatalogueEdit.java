package org.yuccagw.core.catalogue;

import java.time.Duration;
import java.util.Optional;
import java.util.SortedSet;
import org.yuccagw.core.catalogue.CatalogueEditRequested.Result;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.port.KeyValueAnswer;
import org.yuccagw.core.port.KeyValueAnswer.Item;
import org.yuccagw.core.port.KeyValueCall;

/**
 * Performs one edit of the catalogue in the key-value service.
 *
 * <p>The algorithm:
 *
 * <ol>
 *   <li>Read the stored value. If it already lists this edit, the edit was accepted earlier and its answer was lost.
 *   <li>If the stored revision differs from the base revision of the edit, the edit conflicts; the error names the
 *       fields that both sides change.
 *   <li>Copy the stored document to the history before it is replaced, so that the history has no gap even if this
 *       entry fails between any two steps.
 *   <li>Replace exactly the value that was read by its successor, with a compare-and-swap. If it is written, the edit
 *       is accepted.
 *   <li>On a conflict, another edit was faster, or it was this edit itself and its answer was lost. Continue with step
 *       1, which distinguishes the two.
 *   <li>If no answer arrives, the compare-and-swap may have taken effect or may still do so. It is sent again unchanged
 *       and is either written or conflicts. After a conflict the revision of the key has increased, so that no delayed
 *       write of this edit can take effect any more, and reading gives the final result.
 *   <li>If the service refuses or fails to answer until the time limit: before the first compare-and-swap the edit has
 *       had no effect. After it the edit is unconfirmed, and the operator may retry with the same id.
 * </ol>
 */
final class CatalogueEdit {
    static final int MAX_VALUE_BYTES = 1_000_000;

    private static final Duration EDIT_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration RETRY_DELAY = Duration.ofMillis(300);

    private final ControlContext context;
    private final CatalogueCodec codec;
    private final CatalogueEditRequested request;
    private final AcceptanceListener listener;
    private final long deadlineNanos;
    private boolean writeAttempted;

    /** Called once when an edit is accepted. */
    interface AcceptanceListener {
        /** Receives the stored value that contains the accepted edit. */
        void onAccepted(StoredCatalogue stored);
    }

    private CatalogueEdit(
            ControlContext context, CatalogueCodec codec, CatalogueEditRequested request, AcceptanceListener listener) {
        this.context = context;
        this.codec = codec;
        this.request = request;
        this.listener = listener;
        this.deadlineNanos = context.nowNanos() + EDIT_TIMEOUT.toNanos();
    }

    /** Starts an edit. The reply of the request is called exactly once. */
    static void start(
            ControlContext context, CatalogueCodec codec, CatalogueEditRequested request, AcceptanceListener listener) {
        new CatalogueEdit(context, codec, request, listener).read();
    }

    private void read() {
        context.call(new KeyValueCall.Read(CatalogueKeys.CURRENT), answer -> {
            if (answer instanceof KeyValueAnswer.Found found) {
                onRead(found);
            } else {
                retryOrFail(this::read, answer);
            }
        });
    }

    private void onRead(KeyValueAnswer.Found found) {
        Optional<Item> item = found.items().stream().findFirst();
        try {
            StoredCatalogue stored =
                    item.isPresent() ? StoredCatalogue.decode(item.get().value()) : StoredCatalogue.empty();
            Optional<AcceptedEdit> earlier = stored.findEdit(request.editId());
            if (earlier.isPresent()) {
                accept(stored, earlier.get().revision());
            } else if (stored.revision() != request.baseRevision()) {
                reportConflict(stored);
            } else {
                saveToHistory(stored, item.map(Item::revision).orElse(KeyValueCall.ABSENT));
            }
        } catch (YuccagwException e) {
            refuse(e);
        }
    }

    private void saveToHistory(StoredCatalogue stored, long keyRevision) throws YuccagwException {
        // The revision is stored beside the document. Inside, each delta would extend from it to the changed field.
        byte[] document = codec.encode(request.wanted().atRevision(0));
        byte[] next = stored.successor(request.editId(), request.operator(), context.wallMillis(), document)
                .encode();
        if (next.length > MAX_VALUE_BYTES) {
            throw ErrorKind.CATALOGUE_TOO_LARGE.raise(next.length, MAX_VALUE_BYTES);
        }
        if (stored.revision() == 0) {
            replaceCurrent(keyRevision, next);
            return;
        }
        String key = CatalogueKeys.history(stored.revision());
        byte[] predecessor = stored.encode();
        context.call(
                new KeyValueCall.CompareAndSwap(key, KeyValueCall.ABSENT, predecessor, Optional.empty()), answer -> {
                    if (answer instanceof KeyValueAnswer.Written || answer instanceof KeyValueAnswer.Conflict) {
                        replaceCurrent(keyRevision, next);
                    } else {
                        retryOrFail(this::read, answer);
                    }
                });
    }

    private void replaceCurrent(long keyRevision, byte[] next) {
        writeAttempted = true;
        context.call(
                new KeyValueCall.CompareAndSwap(CatalogueKeys.CURRENT, keyRevision, next, Optional.empty()), answer -> {
                    if (answer instanceof KeyValueAnswer.Written) {
                        onWritten(next);
                    } else if (answer instanceof KeyValueAnswer.Conflict) {
                        read();
                    } else {
                        retryOrFail(() -> replaceCurrent(keyRevision, next), answer);
                    }
                });
    }

    private void onWritten(byte[] next) {
        try {
            StoredCatalogue stored = StoredCatalogue.decode(next);
            accept(stored, stored.revision());
            deleteOldestFromHistory(stored.revision());
        } catch (YuccagwException e) {
            refuse(e);
        }
    }

    /** Deletes the revision that has left the list of edits, so that the memory used in the service is bounded. */
    private void deleteOldestFromHistory(long revision) {
        long oldest = revision - StoredCatalogue.MAX_EDITS;
        if (oldest <= 0) {
            return;
        }
        String key = CatalogueKeys.history(oldest);
        context.call(new KeyValueCall.Read(key), answer -> {
            if (answer instanceof KeyValueAnswer.Found found && !found.items().isEmpty()) {
                context.call(new KeyValueCall.Delete(key, found.items().get(0).revision()), ignored -> {});
            }
        });
    }

    private void reportConflict(StoredCatalogue stored) throws YuccagwException {
        Catalogue current = codec.decode(stored.document());
        context.call(new KeyValueCall.Read(CatalogueKeys.history(request.baseRevision())), answer -> {
            try {
                refuse(ErrorKind.CATALOGUE_CONFLICT.raise(stored.revision(), describeConflict(answer, current)));
            } catch (YuccagwException e) {
                refuse(e);
            }
        });
    }

    private String describeConflict(KeyValueAnswer answer, Catalogue current) throws YuccagwException {
        if (answer instanceof KeyValueAnswer.Found found && !found.items().isEmpty()) {
            byte[] value = found.items().get(0).value();
            Catalogue base = codec.decode(StoredCatalogue.decode(value).document());
            SortedSet<String> acceptedChanges = CatalogueDifference.between(base, current);
            SortedSet<String> commonChanges = CatalogueDifference.between(base, request.wanted());
            commonChanges.retainAll(acceptedChanges);
            String fields = commonChanges.isEmpty() ? "no field" : String.join(", ", commonChanges);
            return fields + " (accepted since revision " + request.baseRevision() + ": "
                    + String.join(", ", acceptedChanges) + ")";
        }
        SortedSet<String> differences = CatalogueDifference.between(current, request.wanted());
        return String.join(", ", differences) + " (revision " + request.baseRevision()
                + " isn't in the history any more)";
    }

    private void retryOrFail(Runnable step, KeyValueAnswer answer) {
        if (context.nowNanos() + RETRY_DELAY.toNanos() - deadlineNanos < 0) {
            context.after(RETRY_DELAY, step);
        } else if (writeAttempted) {
            refuse(ErrorKind.EDIT_UNCONFIRMED.raise(request.editId()));
        } else {
            refuse(ErrorKind.STATE_UNAVAILABLE.raise(CatalogueKeys.failureReason(answer)));
        }
    }

    private void accept(StoredCatalogue stored, long revision) {
        listener.onAccepted(stored);
        context.reply(() -> request.reply().accept(new Result.Accepted(revision)));
    }

    private void refuse(YuccagwException error) {
        context.reply(() -> request.reply().accept(new Result.Refused(error)));
    }
}

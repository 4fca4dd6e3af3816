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
 * One edit on its way to acceptance.
 *
 * <p>The cases:
 *
 * <ol>
 *   <li>Read the stored value. It already names this edit: accepted earlier, its answer was lost.
 *   <li>It has another revision than the operator began from: conflict, with the fields that both change.
 *   <li>Keep the stored document in the history, before it is replaced. So the history has no gap whoever dies when.
 *   <li>Compare-and-swap the successor over exactly the value that was read. Written: accepted.
 *   <li>Conflict: somebody was faster, or it was this edit itself, whose answer was lost. Back to 1, which tells which.
 *   <li>No answer: it may have taken effect, or may yet. The same compare-and-swap is sent again; either it is written,
 *       or it conflicts. After a conflict the key has moved on, so no late write of this edit can take effect any more,
 *       and reading decides for good.
 *   <li>Refused by the service, or time is up: before the first compare-and-swap nothing can have happened; after it,
 *       the edit is unconfirmed, and the operator may ask again under the same id.
 * </ol>
 */
final class CatalogueEdit {
    static final int LARGEST_VALUE_BYTES = 1_000_000;

    private static final Duration LONGEST = Duration.ofSeconds(10);
    private static final Duration PAUSE = Duration.ofMillis(300);

    private final ControlContext context;
    private final CatalogueCodec codec;
    private final CatalogueEditRequested requested;
    private final Acceptance acceptance;
    private final long deadlineNanos;
    private boolean swapSent;

    /** Told once an edit is accepted, with the document as stored. */
    interface Acceptance {
        void accepted(StoredCatalogue stored);
    }

    private CatalogueEdit(
            ControlContext context, CatalogueCodec codec, CatalogueEditRequested requested, Acceptance acceptance) {
        this.context = context;
        this.codec = codec;
        this.requested = requested;
        this.acceptance = acceptance;
        this.deadlineNanos = context.nowNanos() + LONGEST.toNanos();
    }

    static void begin(
            ControlContext context, CatalogueCodec codec, CatalogueEditRequested requested, Acceptance acceptance) {
        new CatalogueEdit(context, codec, requested, acceptance).read();
    }

    private void read() {
        context.call(new KeyValueCall.Read(CatalogueKeys.CURRENT), answer -> {
            if (answer instanceof KeyValueAnswer.Found found) {
                onRead(found);
            } else {
                later(this::read, answer);
            }
        });
    }

    private void onRead(KeyValueAnswer.Found found) {
        Optional<Item> item = found.items().stream().findFirst();
        try {
            StoredCatalogue stored =
                    item.isPresent() ? StoredCatalogue.decode(item.get().value()) : StoredCatalogue.empty();
            Optional<AcceptedEdit> earlier = stored.edit(requested.editId());
            if (earlier.isPresent()) {
                accept(stored, earlier.get().revision());
            } else if (stored.revision() != requested.baseRevision()) {
                explainConflict(stored);
            } else {
                keepPredecessor(stored, item.map(Item::revision).orElse(KeyValueCall.ABSENT));
            }
        } catch (YuccagwException e) {
            refuse(e);
        }
    }

    private void keepPredecessor(StoredCatalogue stored, long keyRevision) throws YuccagwException {
        // The revision stands beside the document: in it, each delta would reach from there to the changed field.
        byte[] document = codec.encode(requested.wanted().atRevision(0));
        byte[] next = stored.successor(requested.editId(), requested.operator(), context.wallMillis(), document)
                .encode();
        if (next.length > LARGEST_VALUE_BYTES) {
            throw ErrorKind.CATALOGUE_TOO_LARGE.raise(next.length, LARGEST_VALUE_BYTES);
        }
        if (stored.revision() == 0) {
            swap(keyRevision, next);
            return;
        }
        String key = CatalogueKeys.history(stored.revision());
        byte[] kept = stored.encode();
        context.call(new KeyValueCall.CompareAndSwap(key, KeyValueCall.ABSENT, kept, Optional.empty()), answer -> {
            if (answer instanceof KeyValueAnswer.Written || answer instanceof KeyValueAnswer.Conflict) {
                swap(keyRevision, next);
            } else {
                later(this::read, answer);
            }
        });
    }

    private void swap(long keyRevision, byte[] next) {
        swapSent = true;
        context.call(
                new KeyValueCall.CompareAndSwap(CatalogueKeys.CURRENT, keyRevision, next, Optional.empty()), answer -> {
                    if (answer instanceof KeyValueAnswer.Written) {
                        onWritten(next);
                    } else if (answer instanceof KeyValueAnswer.Conflict) {
                        read();
                    } else {
                        later(() -> swap(keyRevision, next), answer);
                    }
                });
    }

    private void onWritten(byte[] next) {
        try {
            StoredCatalogue stored = StoredCatalogue.decode(next);
            accept(stored, stored.revision());
            forgetOldest(stored.revision());
        } catch (YuccagwException e) {
            refuse(e);
        }
    }

    /** The history is as long as the list of edits, so the service's memory stays bounded. */
    private void forgetOldest(long revision) {
        long oldest = revision - StoredCatalogue.EDITS_KEPT;
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

    private void explainConflict(StoredCatalogue stored) throws YuccagwException {
        Catalogue current = codec.decode(stored.document());
        context.call(new KeyValueCall.Read(CatalogueKeys.history(requested.baseRevision())), answer -> {
            try {
                refuse(ErrorKind.CATALOGUE_CONFLICT.raise(stored.revision(), fieldsInConflict(answer, current)));
            } catch (YuccagwException e) {
                refuse(e);
            }
        });
    }

    private String fieldsInConflict(KeyValueAnswer answer, Catalogue current) throws YuccagwException {
        if (answer instanceof KeyValueAnswer.Found found && !found.items().isEmpty()) {
            byte[] value = found.items().get(0).value();
            Catalogue base = codec.decode(StoredCatalogue.decode(value).document());
            SortedSet<String> theirs = CatalogueDifference.between(base, current);
            SortedSet<String> both = CatalogueDifference.between(base, requested.wanted());
            both.retainAll(theirs);
            String fields = both.isEmpty() ? "no field" : String.join(", ", both);
            return fields + " (accepted since revision " + requested.baseRevision() + ": " + String.join(", ", theirs)
                    + ")";
        }
        SortedSet<String> differing = CatalogueDifference.between(current, requested.wanted());
        return String.join(", ", differing) + " (revision " + requested.baseRevision()
                + " isn't in the history any more)";
    }

    private void later(Runnable step, KeyValueAnswer answer) {
        if (context.nowNanos() + PAUSE.toNanos() - deadlineNanos < 0) {
            context.after(PAUSE, step);
        } else if (swapSent) {
            refuse(ErrorKind.EDIT_UNCONFIRMED.raise(requested.editId()));
        } else {
            refuse(ErrorKind.STATE_UNAVAILABLE.raise(CatalogueKeys.reason(answer)));
        }
    }

    private void accept(StoredCatalogue stored, long revision) {
        acceptance.accepted(stored);
        context.reply(() -> requested.reply().accept(new Result.Accepted(revision)));
    }

    private void refuse(YuccagwException error) {
        context.reply(() -> requested.reply().accept(new Result.Refused(error)));
    }
}

package org.yuccagw.core.catalogue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.ControlSnapshot;
import org.yuccagw.core.control.PeerReceived;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.membership.EntryStatus;
import org.yuccagw.core.membership.EntryStatus.State;
import org.yuccagw.core.membership.MembersChanged;
import org.yuccagw.core.membership.Readiness;
import org.yuccagw.core.membership.RevisionReported;
import org.yuccagw.core.port.KeyValueAnswer;
import org.yuccagw.core.port.KeyValueCall;

/**
 * Maintains the catalogue in force on this entry, performs edits, and distributes accepted edits to the other entries.
 *
 * <p>A catalogue comes into force only if its revision is higher than the current one. There are three sources, and the
 * first that delivers a revision takes effect:
 *
 * <ul>
 *   <li>Push: an entry that applies a revision immediately sends the delta to a few randomly chosen other entries.
 *   <li>Gossip: membership messages carry the sender's revision, and an entry that receives a higher one requests it.
 *   <li>The key-value service: every entry reads it at its start, and a few entries watch it (see {@link
 *       CatalogueFollower}).
 * </ul>
 *
 * <p>Readiness: an entry that has received nothing from the key-value service and from other entries for the freshness
 * limit may serve an outdated catalogue unknowingly. It accepts no new requests until it receives something again.
 */
public final class CatalogueComponent implements ControlComponent, Readiness {
    private static final int PUSH_FAN_OUT = 4;
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(500);

    private final CatalogueCodec codec;
    private CatalogueFollower follower;
    private ControlContext context;
    private Catalogue current = Catalogue.empty();
    private byte[] document = new byte[0];
    /** The value that was last read from or written to the key-value service. */
    private Optional<StoredCatalogue> latestStored = Optional.empty();

    private byte[] previousDocument = new byte[0];
    private long previousRevision;
    private List<EntryId> others = List.of();
    private long lastContactNanos;
    private boolean serviceHasNoCatalogue;
    private long requestPendingUntilNanos;
    private long unreadableCount;

    private CatalogueComponent(CatalogueCodec codec) {
        this.codec = codec;
    }

    public static CatalogueComponent of(CatalogueCodec codec) {
        return new CatalogueComponent(codec);
    }

    @Override
    public void start(ControlContext startContext) {
        context = startContext;
        lastContactNanos = context.nowNanos();
        requestPendingUntilNanos = context.nowNanos();
        follower = new CatalogueFollower(context, this::onStored, this::onServiceAnswer);
        follower.start();
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof PeerReceived received) {
            lastContactNanos = context.nowNanos();
            if (received.message() instanceof CatalogueUpdate update) {
                receive(received.from(), update);
            }
        } else if (event instanceof MembersChanged changed) {
            updateMembers(changed);
        } else if (event instanceof RevisionReported reported) {
            requestNewer(reported);
        } else if (event instanceof CatalogueEditRequested edit) {
            CatalogueEdit.start(context, codec, edit, this::applyStored);
        } else if (event instanceof CatalogueHistoryRequested request) {
            answerHistory(request);
        } else if (event instanceof CatalogueRevisionRequested request) {
            answerRevision(request);
        }
    }

    @Override
    public void contribute(ControlSnapshot.Builder snapshot) {
        snapshot.put(Catalogue.class, current);
    }

    @Override
    public Optional<String> reasonNotReady(long nowNanos) {
        if (current.revision() == 0) {
            return Optional.of(
                    serviceHasNoCatalogue
                            ? "has no catalogue: none was applied yet"
                            : "has no catalogue: neither the key-value service nor another entry gave one yet");
        }
        Duration limit = current.system().freshnessLimit();
        if (nowNanos - lastContactNanos > limit.toNanos()) {
            return Optional.of("can't confirm its catalogue: for " + limit.toSeconds()
                    + " s neither the key-value service nor another entry answered");
        }
        return Optional.empty();
    }

    /** Returns the number of documents of a higher revision that this version couldn't decode since the start. */
    public long unreadableDocuments() {
        return unreadableCount;
    }

    // ---- Applying revisions

    private void onStored(StoredCatalogue stored, long keyRevision) {
        if (stored.revision() < current.revision()) {
            writeAgain(stored, keyRevision);
        } else if (stored.revision() > 0) {
            applyStored(stored);
        }
    }

    /**
     * Writes the catalogue in force to the key-value service, which has been restored from a copy that lacks accepted
     * edits. If the service holds a later catalogue meanwhile, the write has no effect.
     */
    private void writeAgain(StoredCatalogue older, long keyRevision) {
        StoredCatalogue value = latestStored
                .filter(stored -> stored.revision() == current.revision())
                .orElseGet(() -> older.restoredTo(current.revision(), context.wallMillis(), document));
        context.call(
                new KeyValueCall.CompareAndSwap(CatalogueKeys.CURRENT, keyRevision, value.encode(), Optional.empty()),
                ignored -> {});
    }

    private void applyStored(StoredCatalogue stored) {
        latestStored = Optional.of(stored);
        apply(stored.revision(), stored.document());
    }

    private void onServiceAnswer(boolean hasCatalogue) {
        lastContactNanos = context.nowNanos();
        serviceHasNoCatalogue = !hasCatalogue;
    }

    private void apply(long revision, byte[] newDocument) {
        if (revision <= current.revision()) {
            return;
        }
        Catalogue decoded;
        try {
            decoded = codec.decode(newDocument).atRevision(revision);
        } catch (YuccagwException e) {
            unreadableCount++;
            return;
        }
        previousRevision = current.revision();
        previousDocument = document;
        current = decoded;
        document = newDocument;
        context.raise(new CatalogueChanged(current));
        pushToPeers();
    }

    private void pushToPeers() {
        List<EntryId> receivers = new ArrayList<>(others);
        for (int index = 0; index < Math.min(PUSH_FAN_OUT, receivers.size()); index++) {
            Collections.swap(receivers, index, index + context.random().nextInt(receivers.size() - index));
            context.send(receivers.get(index), updateSince(previousRevision));
        }
    }

    private CatalogueUpdate updateSince(long revision) {
        if (revision == previousRevision && revision > 0) {
            return new CatalogueUpdate.Delta(
                    current.revision(), previousRevision, DocumentDelta.between(previousDocument, document));
        }
        return new CatalogueUpdate.FullDocument(current.revision(), document);
    }

    // ---- Messages of other entries

    private void receive(EntryId from, CatalogueUpdate update) {
        if (update instanceof CatalogueUpdate.FullDocument full) {
            requestPendingUntilNanos = context.nowNanos();
            apply(full.revision(), full.document());
        } else if (update instanceof CatalogueUpdate.Delta delta) {
            receiveDelta(from, delta);
        } else if (update instanceof CatalogueUpdate.Request request && request.revision() < current.revision()) {
            context.send(from, updateSince(request.revision()));
        }
    }

    private void receiveDelta(EntryId from, CatalogueUpdate.Delta delta) {
        if (delta.revision() <= current.revision()) {
            return;
        }
        Optional<byte[]> nextDocument = delta.baseRevision() == current.revision()
                ? DocumentDelta.apply(document, delta.change())
                : Optional.empty();
        if (nextDocument.isPresent()) {
            apply(delta.revision(), nextDocument.get());
        } else {
            requestNewer(new RevisionReported(from, delta.revision()));
        }
    }

    /**
     * Requests a newer revision from the entry that reported it. At most one request is pending at a time, so that this
     * entry doesn't receive a revision many times if many members have it.
     */
    private void requestNewer(RevisionReported reported) {
        boolean pending = context.nowNanos() - requestPendingUntilNanos < 0;
        if (reported.revision() > current.revision() && !pending) {
            requestPendingUntilNanos = context.nowNanos() + REQUEST_TIMEOUT.toNanos();
            context.send(reported.entry(), new CatalogueUpdate.Request(current.revision()));
        }
    }

    private void updateMembers(MembersChanged changed) {
        EntryId self = context.self().entry();
        others = changed.entries().stream()
                .filter(entry -> entry.state() != State.DEAD)
                .map(EntryStatus::entry)
                .filter(entry -> !entry.equals(self))
                .toList();
        follower.updateMembers(others);
    }

    // ---- Operators' queries

    private void answerHistory(CatalogueHistoryRequested request) {
        context.call(new KeyValueCall.Read(CatalogueKeys.CURRENT), answer -> {
            CatalogueHistoryRequested.Result result;
            try {
                result = new CatalogueHistoryRequested.Result.History(
                        readStored(answer, current.revision()).edits());
            } catch (YuccagwException e) {
                result = new CatalogueHistoryRequested.Result.Refused(e);
            }
            CatalogueHistoryRequested.Result replied = result;
            context.reply(() -> request.reply().accept(replied));
        });
    }

    private void answerRevision(CatalogueRevisionRequested request) {
        if (request.revision() == current.revision()) {
            context.reply(() -> request.reply().accept(new CatalogueRevisionRequested.Result.Found(current)));
            return;
        }
        context.call(new KeyValueCall.Read(CatalogueKeys.history(request.revision())), answer -> {
            CatalogueRevisionRequested.Result result;
            try {
                byte[] found = readStored(answer, request.revision()).document();
                result = new CatalogueRevisionRequested.Result.Found(
                        codec.decode(found).atRevision(request.revision()));
            } catch (YuccagwException e) {
                result = new CatalogueRevisionRequested.Result.Refused(e);
            }
            CatalogueRevisionRequested.Result replied = result;
            context.reply(() -> request.reply().accept(replied));
        });
    }

    private static StoredCatalogue readStored(KeyValueAnswer answer, long revision) throws YuccagwException {
        if (!(answer instanceof KeyValueAnswer.Found found)) {
            throw ErrorKind.STATE_UNAVAILABLE.raise(CatalogueKeys.failureReason(answer));
        }
        if (found.items().isEmpty()) {
            throw ErrorKind.UNKNOWN_ITEM.raise("catalogue of revision", revision);
        }
        return StoredCatalogue.decode(found.items().get(0).value());
    }
}

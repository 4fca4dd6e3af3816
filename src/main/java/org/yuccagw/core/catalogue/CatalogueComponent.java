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
 * The catalogue in force on this entry, its edits, and how accepted ones reach all entries.
 *
 * <p>Only a higher revision ever comes into force, from whichever source it comes first:
 *
 * <ul>
 *   <li>Push: whoever puts a revision in force passes the delta on to a few others, at once.
 *   <li>Gossip: members carry the revision that they have in force; who hears of a higher one asks for it.
 *   <li>The key-value service: every entry reads it at its start; a few entries follow it (see {@link
 *       CatalogueFollower}).
 * </ul>
 *
 * <p>Readiness: an entry that heard neither the service nor any other entry for the freshness limit may serve an old
 * catalogue without knowing. It takes no new work until it hears one of them again.
 */
public final class CatalogueComponent implements ControlComponent, Readiness {
    private static final int FAN_OUT = 4;
    private static final Duration ASK_AGAIN = Duration.ofMillis(500);

    private final CatalogueCodec codec;
    private CatalogueFollower follower;
    private ControlContext context;
    private Catalogue inForce = Catalogue.none();
    private byte[] document = new byte[0];
    private byte[] previousDocument = new byte[0];
    private long previousRevision;
    private List<EntryId> others = List.of();
    private long lastWordNanos;
    private boolean serviceSaidNone;
    private long askedUntilNanos;
    private long unreadable;

    private CatalogueComponent(CatalogueCodec codec) {
        this.codec = codec;
    }

    public static CatalogueComponent of(CatalogueCodec codec) {
        return new CatalogueComponent(codec);
    }

    @Override
    public void start(ControlContext startContext) {
        context = startContext;
        lastWordNanos = context.nowNanos();
        askedUntilNanos = context.nowNanos();
        follower = new CatalogueFollower(context, this::takeStored, this::onServiceWord);
        follower.start();
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof PeerReceived received) {
            lastWordNanos = context.nowNanos();
            if (received.message() instanceof CatalogueUpdate update) {
                receive(received.from(), update);
            }
        } else if (event instanceof MembersChanged changed) {
            takeMembers(changed);
        } else if (event instanceof RevisionReported reported) {
            ask(reported);
        } else if (event instanceof CatalogueEditRequested asked) {
            CatalogueEdit.begin(context, codec, asked, this::takeStored);
        } else if (event instanceof CatalogueHistoryRequested asked) {
            answerHistory(asked);
        } else if (event instanceof CatalogueRevisionRequested asked) {
            answerRevision(asked);
        }
    }

    @Override
    public void contribute(ControlSnapshot.Builder snapshot) {
        snapshot.put(Catalogue.class, inForce);
    }

    @Override
    public Optional<String> reasonNotReady(long nowNanos) {
        if (inForce.revision() == 0) {
            return Optional.of(
                    serviceSaidNone
                            ? "has no catalogue: none was applied yet"
                            : "has no catalogue: neither the key-value service nor another entry gave one yet");
        }
        Duration limit = inForce.system().freshnessLimit();
        if (nowNanos - lastWordNanos > limit.toNanos()) {
            return Optional.of("can't confirm its catalogue: for " + limit.toSeconds()
                    + " s neither the key-value service nor another entry answered");
        }
        return Optional.empty();
    }

    /** Documents of a higher revision that this version of the program could not read, since its start. */
    public long unreadableDocuments() {
        return unreadable;
    }

    // ---- What comes into force.

    private void takeStored(StoredCatalogue stored) {
        take(stored.revision(), stored.document());
    }

    private void onServiceWord(boolean hasCatalogue) {
        lastWordNanos = context.nowNanos();
        serviceSaidNone = !hasCatalogue;
    }

    private void take(long revision, byte[] newDocument) {
        if (revision <= inForce.revision()) {
            return;
        }
        Catalogue read;
        try {
            read = codec.decode(newDocument).atRevision(revision);
        } catch (YuccagwException e) {
            unreadable++;
            return;
        }
        previousRevision = inForce.revision();
        previousDocument = document;
        inForce = read;
        document = newDocument;
        context.raise(new CatalogueChanged(inForce));
        push();
    }

    private void push() {
        List<EntryId> receivers = new ArrayList<>(others);
        for (int chosen = 0; chosen < Math.min(FAN_OUT, receivers.size()); chosen++) {
            Collections.swap(receivers, chosen, chosen + context.random().nextInt(receivers.size() - chosen));
            context.send(receivers.get(chosen), newsSince(previousRevision));
        }
    }

    private CatalogueUpdate newsSince(long revision) {
        if (revision == previousRevision && revision > 0) {
            return new CatalogueUpdate.Delta(
                    inForce.revision(), previousRevision, DocumentDelta.between(previousDocument, document));
        }
        return new CatalogueUpdate.Whole(inForce.revision(), document);
    }

    // ---- Other entries.

    private void receive(EntryId from, CatalogueUpdate update) {
        if (update instanceof CatalogueUpdate.Whole whole) {
            askedUntilNanos = context.nowNanos();
            take(whole.revision(), whole.document());
        } else if (update instanceof CatalogueUpdate.Delta delta) {
            receiveDelta(from, delta);
        } else if (update instanceof CatalogueUpdate.Ask asked && asked.revision() < inForce.revision()) {
            context.send(from, newsSince(asked.revision()));
        }
    }

    private void receiveDelta(EntryId from, CatalogueUpdate.Delta delta) {
        if (delta.revision() <= inForce.revision()) {
            return;
        }
        Optional<byte[]> next = delta.baseRevision() == inForce.revision()
                ? DocumentDelta.apply(document, delta.change())
                : Optional.empty();
        if (next.isPresent()) {
            take(delta.revision(), next.get());
        } else {
            ask(new RevisionReported(from, delta.revision()));
        }
    }

    /** One question at a time, so that a revision that many members have isn't sent to this entry many times. */
    private void ask(RevisionReported reported) {
        boolean waiting = context.nowNanos() - askedUntilNanos < 0;
        if (reported.revision() > inForce.revision() && !waiting) {
            askedUntilNanos = context.nowNanos() + ASK_AGAIN.toNanos();
            context.send(reported.entry(), new CatalogueUpdate.Ask(inForce.revision()));
        }
    }

    private void takeMembers(MembersChanged changed) {
        EntryId self = context.self().entry();
        others = changed.entries().stream()
                .filter(entry -> entry.state() != State.DEAD)
                .map(EntryStatus::entry)
                .filter(entry -> !entry.equals(self))
                .toList();
        follower.takeMembers(others);
    }

    // ---- Operators' questions.

    private void answerHistory(CatalogueHistoryRequested asked) {
        context.call(new KeyValueCall.Read(CatalogueKeys.CURRENT), answer -> {
            CatalogueHistoryRequested.Result result;
            try {
                result = new CatalogueHistoryRequested.Result.History(
                        readStored(answer, inForce.revision()).edits());
            } catch (YuccagwException e) {
                result = new CatalogueHistoryRequested.Result.Refused(e);
            }
            CatalogueHistoryRequested.Result replied = result;
            context.reply(() -> asked.reply().accept(replied));
        });
    }

    private void answerRevision(CatalogueRevisionRequested asked) {
        if (asked.revision() == inForce.revision()) {
            context.reply(() -> asked.reply().accept(new CatalogueRevisionRequested.Result.Found(inForce)));
            return;
        }
        context.call(new KeyValueCall.Read(CatalogueKeys.history(asked.revision())), answer -> {
            CatalogueRevisionRequested.Result result;
            try {
                byte[] found = readStored(answer, asked.revision()).document();
                result = new CatalogueRevisionRequested.Result.Found(
                        codec.decode(found).atRevision(asked.revision()));
            } catch (YuccagwException e) {
                result = new CatalogueRevisionRequested.Result.Refused(e);
            }
            CatalogueRevisionRequested.Result replied = result;
            context.reply(() -> asked.reply().accept(replied));
        });
    }

    private static StoredCatalogue readStored(KeyValueAnswer answer, long revision) throws YuccagwException {
        if (!(answer instanceof KeyValueAnswer.Found found)) {
            throw ErrorKind.STATE_UNAVAILABLE.raise(CatalogueKeys.reason(answer));
        }
        if (found.items().isEmpty()) {
            throw ErrorKind.UNKNOWN_ITEM.raise("catalogue of revision", revision);
        }
        return StoredCatalogue.decode(found.items().get(0).value());
    }
}

package org.yuccagw.core.claim;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.yuccagw.core.claim.ClaimEnded.Outcome;
import org.yuccagw.core.claim.ClaimHead.Segment;
import org.yuccagw.core.claim.ClaimRecord.State;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.ShardNumber;
import org.yuccagw.core.port.KeyValueAnswer.Item;
import org.yuccagw.core.port.KeyValueCall;

/**
 * The log of one shard at one revision of its head document: the records of the head and those of the segments that the
 * head references. Immutable; held by the owner of the shard.
 *
 * <p>The revisions of the head form a chain. Each head is derived from its predecessor by {@link #draft} and written by
 * a compare-and-swap on the predecessor's revision. Therefore a key that is absent at the revision from which a draft
 * was made is still absent when the draft takes effect, or the draft never takes effect. A record in the head has
 * precedence over a record of the same key in a segment.
 *
 * <p>Example: the head contains {k1 running}. A draft with the claim of k2 and the end of k1 yields {k1 answered, k2
 * running}. When that has been committed and the head exceeds its size limit, {k1 answered} is written to a segment,
 * and the next head contains {k2 running} and the name of the segment.
 */
final class ClaimLog {
    private final String segmentPrefix;
    private final long epoch;
    private final long headRevision;
    private final Map<ClaimKey, ClaimRecord> headRecords;
    private final Map<ClaimKey, ClaimRecord> segmentRecords;
    private final List<Segment> segments;
    private final Map<String, Long> segmentRevisions;
    private final List<String> orphans;

    private ClaimLog(
            ShardNumber shard,
            long epoch,
            long headRevision,
            Map<ClaimKey, ClaimRecord> headRecords,
            Map<ClaimKey, ClaimRecord> segmentRecords,
            List<Segment> segments,
            Map<String, Long> segmentRevisions,
            List<String> orphans) {
        this.segmentPrefix = prefix(shard) + "segment/";
        this.epoch = epoch;
        this.headRevision = headRevision;
        this.headRecords = headRecords;
        this.segmentRecords = segmentRecords;
        this.segments = segments;
        this.segmentRevisions = segmentRevisions;
        this.orphans = orphans;
    }

    /** Returns the prefix of every key of a shard's log in the key-value service. */
    static String prefix(ShardNumber shard) {
        return "yuccagw/claims/" + shard.value() + "/";
    }

    static String headKey(ShardNumber shard) {
        return prefix(shard) + "head";
    }

    /**
     * Decodes the log from all items under {@link #prefix}.
     *
     * @throws YuccagwException of kind CLAIM_UNAVAILABLE when a document is damaged or a referenced segment is missing
     */
    static ClaimLog read(ShardNumber shard, long epoch, List<Item> items, ClaimLogCodec codec) throws YuccagwException {
        Map<String, Item> byKey = new HashMap<>();
        items.forEach(item -> byKey.put(item.key(), item));
        Item headItem = byKey.remove(headKey(shard));
        ClaimHead document =
                headItem == null ? new ClaimHead(epoch, List.of(), List.of()) : codec.decodeHead(headItem.value());
        Map<ClaimKey, ClaimRecord> segmentRecords = new HashMap<>();
        for (Segment segment : document.segments()) {
            Item item = byKey.get(segment.name());
            if (item == null) {
                throw ErrorKind.CLAIM_UNAVAILABLE.raise("segment " + segment.name() + " is gone");
            }
            codec.decodeSegment(item.value()).forEach(record -> segmentRecords.put(record.key(), record));
        }
        LinkedHashMap<ClaimKey, ClaimRecord> headRecords = new LinkedHashMap<>();
        document.records().forEach(record -> headRecords.put(record.key(), record));
        Map<String, Long> revisions = new HashMap<>();
        byKey.values().forEach(item -> revisions.put(item.key(), item.revision()));
        Set<String> referencedSegments =
                document.segments().stream().map(Segment::name).collect(Collectors.toSet());
        List<String> orphans = revisions.keySet().stream()
                .filter(name -> !referencedSegments.contains(name))
                .sorted()
                .toList();
        long revision = headItem == null ? KeyValueCall.ABSENT : headItem.revision();
        return new ClaimLog(
                shard, epoch, revision, headRecords, segmentRecords, document.segments(), revisions, orphans);
    }

    long headRevision() {
        return headRevision;
    }

    /** Returns the record of a key, from the head or from a segment. */
    Optional<ClaimRecord> find(ClaimKey key) {
        ClaimRecord record = headRecords.get(key);
        return Optional.ofNullable(record != null ? record : segmentRecords.get(key));
    }

    /**
     * Returns the names of the segments that the head doesn't reference: their writer failed, or was fenced, before it
     * could commit the reference.
     */
    List<String> orphans() {
        return orphans;
    }

    Optional<Long> segmentRevision(String name) {
        return Optional.ofNullable(segmentRevisions.get(name));
    }

    /** Returns the name of a new segment; unique because it contains the epoch of the owner. */
    String segmentName(long number) {
        return segmentPrefix + epoch + "-" + number;
    }

    Draft draft() {
        return new Draft();
    }

    /** Returns the records of the head that may be moved to a segment: no further end is expected for them. */
    List<ClaimRecord> recordsForSegment(Predicate<ClaimAttempt> mayBeRunning) {
        List<ClaimRecord> found = new ArrayList<>();
        for (ClaimRecord record : headRecords.values()) {
            if (record.state() != State.RUNNING) {
                found.add(record);
            } else if (!mayBeRunning.test(record.attempt())) {
                found.add(record.ended(State.UNKNOWN, Optional.empty()));
            }
        }
        return found;
    }

    /** A segment that has been written and isn't referenced by a head yet. */
    record PendingSegment(Segment segment, long revision, List<ClaimRecord> records) {}

    /** A mutable copy of the log from which the next head is written. */
    final class Draft {
        private final Map<ClaimKey, ClaimRecord> records = new LinkedHashMap<>(headRecords);
        private final List<Segment> referencedSegments = new ArrayList<>(segments);
        private final Map<ClaimKey, ClaimRecord> newSegmentRecords = new HashMap<>();
        private final List<String> droppedSegments = new ArrayList<>();
        private final Map<String, Long> newRevisions = new HashMap<>();

        private Draft() {}

        /**
         * Applies the end of an attempt if the record of the key belongs to that attempt.
         *
         * <p>NOT_SENT releases a key only while its record is in the state RUNNING. An end that was recorded before is
         * final, even if further messages about the same attempt arrive late, duplicated or out of order.
         */
        void end(ClaimPeerMessage.Ended ended) {
            Optional<ClaimRecord> found = find(ended.key());
            if (found.isEmpty() || !found.get().attempt().equals(ended.attempt())) {
                return;
            }
            ClaimRecord record = found.get();
            if (ended.outcome() == Outcome.ANSWERED && record.state() != State.ANSWERED) {
                records.put(ended.key(), record.ended(State.ANSWERED, ended.answer()));
            } else if (ended.outcome() == Outcome.UNKNOWN && record.state() == State.RUNNING) {
                records.put(ended.key(), record.ended(State.UNKNOWN, Optional.empty()));
            } else if (ended.outcome() == Outcome.NOT_SENT) {
                removeIfRunning(record);
            }
        }

        /** Removes claims whose requests were refused while the outcome of their commit was unknown. */
        void release(Collection<ClaimAttempt> refused) {
            records.values().stream()
                    .filter(record -> refused.contains(record.attempt()))
                    .toList()
                    .forEach(this::removeIfRunning);
        }

        private void removeIfRunning(ClaimRecord record) {
            if (record.state() == State.RUNNING) {
                records.remove(record.key(), record);
            }
        }

        /** Adds a claim unless its key has a record. */
        void claim(ClaimRecord requested) {
            ClaimKey key = requested.key();
            boolean inSegment = segmentRecords.containsKey(key) || newSegmentRecords.containsKey(key);
            if (!inSegment && !records.containsKey(key)) {
                records.put(key, requested);
            }
        }

        /**
         * References a written segment and removes its records from the head, except those that have changed since the
         * segment was written.
         */
        void moveToSegment(PendingSegment pendingSegment) {
            referencedSegments.add(pendingSegment.segment());
            newRevisions.put(pendingSegment.segment().name(), pendingSegment.revision());
            for (ClaimRecord record : pendingSegment.records()) {
                ClaimRecord current = records.get(record.key());
                if (current != null && current.attempt().equals(record.attempt())) {
                    boolean changed = current.state() != record.state() && current.state() != State.RUNNING;
                    if (!changed) {
                        records.remove(record.key());
                    }
                }
                newSegmentRecords.put(record.key(), record);
            }
        }

        /** Removes whole segments and ended records of the head that are past retention. */
        void expire(long oldestRetainedWallMillis) {
            for (Segment segment : List.copyOf(referencedSegments)) {
                if (segment.newestWallMillis() < oldestRetainedWallMillis) {
                    referencedSegments.remove(segment);
                    droppedSegments.add(segment.name());
                }
            }
            records.values()
                    .removeIf(record ->
                            record.state() != State.RUNNING && record.wallMillis() < oldestRetainedWallMillis);
        }

        /** Returns the segments that this draft no longer references; deleted only after the draft is committed. */
        List<String> droppedSegments() {
            return droppedSegments;
        }

        /** Returns the head document to write. */
        ClaimHead document() {
            return new ClaimHead(epoch, List.copyOf(records.values()), referencedSegments);
        }

        /** Returns the log after this draft has been committed at the given revision. */
        ClaimLog committed(ShardNumber shard, long revision, long oldestRetainedWallMillis) {
            if (newSegmentRecords.isEmpty() && droppedSegments.isEmpty()) {
                return new ClaimLog(
                        shard, epoch, revision, records, segmentRecords, segments, segmentRevisions, List.of());
            }
            Map<ClaimKey, ClaimRecord> allSegmentRecords = new HashMap<>(segmentRecords);
            allSegmentRecords.putAll(newSegmentRecords);
            allSegmentRecords.values().removeIf(record -> record.wallMillis() < oldestRetainedWallMillis);
            Map<String, Long> revisions = new HashMap<>(segmentRevisions);
            revisions.putAll(newRevisions);
            revisions.keySet().removeAll(Set.copyOf(droppedSegments));
            return new ClaimLog(
                    shard,
                    epoch,
                    revision,
                    records,
                    allSegmentRecords,
                    List.copyOf(referencedSegments),
                    revisions,
                    List.of());
        }
    }
}

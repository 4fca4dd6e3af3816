package org.yuccagw.core.catalogue;

import com.google.common.base.CharMatcher;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;

/**
 * The value of the catalogue in the key-value service: the document and the latest accepted edits. They share one
 * value, so that one compare-and-swap writes both and one read determines whether an edit with a given id was accepted.
 *
 * <p>Format: one line per edit with tab-separated fields (revision, edit id, operator, Unix time in milliseconds), the
 * newest last; an empty line; the document.
 */
record StoredCatalogue(ImmutableList<AcceptedEdit> edits, byte[] document) {
    /**
     * The number of edits retained. At 10,000 edits a day they cover the last 18 minutes; the outcome of an edit whose
     * answer was lost is determined within seconds.
     */
    static final int MAX_EDITS = 128;

    private static final CharMatcher SEPARATORS = CharMatcher.anyOf("\t\n\r");

    static StoredCatalogue empty() {
        return new StoredCatalogue(ImmutableList.of(), new byte[0]);
    }

    /** Returns the revision of the latest edit, or 0 if there is none. */
    long revision() {
        return edits.isEmpty() ? 0 : edits.get(edits.size() - 1).revision();
    }

    /** Returns the edit with this id if it is among the latest edits. */
    Optional<AcceptedEdit> findEdit(String editId) {
        String storedId = replaceSeparators(editId);
        return edits.stream().filter(edit -> edit.editId().equals(storedId)).findFirst();
    }

    /** Returns the value that replaces this one after an edit. */
    StoredCatalogue successor(String editId, String operator, long wallMillis, byte[] newDocument) {
        AcceptedEdit edit =
                new AcceptedEdit(revision() + 1, replaceSeparators(editId), replaceSeparators(operator), wallMillis);
        int from = Math.max(0, edits.size() + 1 - MAX_EDITS);
        ImmutableList<AcceptedEdit> latest = ImmutableList.<AcceptedEdit>builder()
                .addAll(edits.subList(from, edits.size()))
                .add(edit)
                .build();
        return new StoredCatalogue(latest, newDocument);
    }

    /**
     * Returns the value with a later document, whose edits are known as one only: they were accepted and then lost by
     * the service.
     */
    StoredCatalogue restoredTo(long revision, long wallMillis, byte[] newDocument) {
        AcceptedEdit restored = new AcceptedEdit(revision, "restored-" + revision, "yuccagw", wallMillis);
        int from = Math.max(0, edits.size() + 1 - MAX_EDITS);
        ImmutableList<AcceptedEdit> latest = ImmutableList.<AcceptedEdit>builder()
                .addAll(edits.subList(from, edits.size()))
                .add(restored)
                .build();
        return new StoredCatalogue(latest, newDocument);
    }

    byte[] encode() {
        StringBuilder header = new StringBuilder();
        for (AcceptedEdit edit : edits) {
            header.append(edit.revision())
                    .append('\t')
                    .append(edit.editId())
                    .append('\t')
                    .append(edit.operator())
                    .append('\t')
                    .append(edit.wallMillis())
                    .append('\n');
        }
        byte[] lines = header.append('\n').toString().getBytes(StandardCharsets.UTF_8);
        byte[] value = Arrays.copyOf(lines, lines.length + document.length);
        System.arraycopy(document, 0, value, lines.length, document.length);
        return value;
    }

    /**
     * Decodes a stored value; the document itself is not validated.
     *
     * @throws YuccagwException of kind CATALOGUE_INVALID
     */
    static StoredCatalogue decode(byte[] value) throws YuccagwException {
        ImmutableList.Builder<AcceptedEdit> edits = ImmutableList.builder();
        int start = 0;
        while (true) {
            int end = start;
            while (end < value.length && value[end] != '\n') {
                end++;
            }
            if (end == value.length) {
                throw ErrorKind.CATALOGUE_INVALID.raise("the stored value has no empty line before the document");
            }
            if (end == start) {
                return new StoredCatalogue(edits.build(), Arrays.copyOfRange(value, end + 1, value.length));
            }
            edits.add(readEdit(new String(value, start, end - start, StandardCharsets.UTF_8)));
            start = end + 1;
        }
    }

    private static AcceptedEdit readEdit(String line) throws YuccagwException {
        List<String> fields = Splitter.on('\t').splitToList(line);
        try {
            if (fields.size() == 4) {
                return new AcceptedEdit(
                        Long.parseLong(fields.get(0)), fields.get(1), fields.get(2), Long.parseLong(fields.get(3)));
            }
        } catch (NumberFormatException e) {
            throw ErrorKind.CATALOGUE_INVALID.raiseFrom(e, "the stored value has an unreadable edit: " + line);
        }
        throw ErrorKind.CATALOGUE_INVALID.raise("the stored value has an unreadable edit: " + line);
    }

    private static String replaceSeparators(String text) {
        return SEPARATORS.replaceFrom(text, ' ');
    }
}

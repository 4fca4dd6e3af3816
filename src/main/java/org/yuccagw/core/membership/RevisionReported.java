package org.yuccagw.core.membership;

import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.id.EntryId;

/** Raised when another entry reports that a catalogue of a higher revision than this entry's own is in force there. */
public record RevisionReported(EntryId entry, long revision) implements ControlEvent {}

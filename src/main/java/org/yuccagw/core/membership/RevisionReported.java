package org.yuccagw.core.membership;

import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.id.EntryId;

/** Another entry said that it has a catalogue of this revision in force; raised when it is above this entry's own. */
public record RevisionReported(EntryId entry, long revision) implements ControlEvent {}

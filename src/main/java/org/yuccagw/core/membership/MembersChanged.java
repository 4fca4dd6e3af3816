package org.yuccagw.core.membership;

import com.google.common.collect.ImmutableList;
import org.yuccagw.core.control.ControlEvent;

/** Raised by {@link MembershipComponent} when the set of known entries or the state of one of them changed. */
public record MembersChanged(ImmutableList<EntryStatus> entries) implements ControlEvent {}

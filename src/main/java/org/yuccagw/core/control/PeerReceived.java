package org.yuccagw.core.control;

import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.port.PeerMessage;

/** Raised when a message from another entry arrives. */
public record PeerReceived(EntryId from, PeerMessage message) implements ControlEvent {}

package org.yuccagw.core.notice;

import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.port.PeerMessage;

/** An endpoint said in an answer to the sending entry that it leaves. */
public record EndpointNews(EndpointIncarnation endpoint) implements PeerMessage {}

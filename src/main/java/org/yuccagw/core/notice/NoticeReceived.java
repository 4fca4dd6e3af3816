package org.yuccagw.core.notice;

import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.id.EndpointIncarnation;

/**
 * An answer of an endpoint came to this entry.
 *
 * @param notice what its head says of the endpoint
 * @param limitForeseen whether a rate limit was known where the request was placed, so that an answer without one ends
 *     it
 */
public record NoticeReceived(EndpointIncarnation endpoint, EndpointNotice notice, boolean limitForeseen)
        implements ControlEvent {}

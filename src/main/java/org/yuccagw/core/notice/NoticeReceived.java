package org.yuccagw.core.notice;

import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.id.EndpointIncarnation;

/**
 * This entry received an answer of an endpoint.
 *
 * @param notice the state that the head of the answer reports
 * @param limitKnownAtPlacement whether a rate limit was known where the request was placed, so that an answer without
 *     one ends the limit
 */
public record NoticeReceived(EndpointIncarnation endpoint, EndpointNotice notice, boolean limitKnownAtPlacement)
        implements ControlEvent {}

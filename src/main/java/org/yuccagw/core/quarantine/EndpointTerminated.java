package org.yuccagw.core.quarantine;

import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.id.EndpointId;

/**
 * Raised when the connection to an endpoint broke while the endpoint ran a prompt, and the endpoint didn't answer
 * afterwards.
 *
 * @param incarnation of the VM of the endpoint
 * @param isolated whether the prompt ran isolated, as the only one that this entry had running on the endpoint
 */
public record EndpointTerminated(PromptFingerprint fingerprint, EndpointId endpoint, long incarnation, boolean isolated)
        implements ControlEvent {}

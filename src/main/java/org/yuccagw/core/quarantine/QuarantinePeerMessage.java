package org.yuccagw.core.quarantine;

import java.time.Duration;
import java.util.List;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.port.PeerMessage;
import org.yuccagw.core.suspect.SuspectMessage;

/**
 * Messages between entries about prompts that terminate endpoints. Each message may be lost, delayed or duplicated.
 */
public interface QuarantinePeerMessage extends PeerMessage {
    /** Terminations known to the sender: pushed when observed, and sent periodically to a random entry. */
    record Deaths(List<Death> deaths) implements QuarantinePeerMessage {
        public Deaths {
            deaths = List.copyOf(deaths);
        }
    }

    /** Asks for all terminations that the receiver knows. Sent by a process that has started. */
    record RecordsRequested() implements QuarantinePeerMessage {}

    /**
     * All terminations that the sender knows.
     *
     * @param refusedParts the parts of prompts that the sender refuses
     * @param complete whether the sender has learned before which terminations others know
     */
    record RecordsSent(List<Death> deaths, List<SuspectMessage.Refused> refusedParts, boolean complete)
            implements QuarantinePeerMessage {
        public RecordsSent {
            deaths = List.copyOf(deaths);
            refusedParts = List.copyOf(refusedParts);
        }
    }

    /**
     * The termination of one endpoint while it ran the prompt.
     *
     * @param incarnation of the VM of the endpoint; identifies the termination together with the endpoint
     * @param age time since the termination
     */
    record Death(PromptFingerprint fingerprint, EndpointId endpoint, long incarnation, Duration age) {}

    /**
     * Requests the permit to run a prompt isolated, or renews it. Sent to the owner of the prompt's shard.
     *
     * @param number identifies the permit; the same in the request and in its renewals
     * @param renewal whether this renews a granted permit
     */
    record PermitRequested(PromptFingerprint fingerprint, long number, boolean renewal)
            implements QuarantinePeerMessage {}

    /** The decision of the owner on a request or renewal. */
    record PermitDecided(PromptFingerprint fingerprint, long number, boolean granted)
            implements QuarantinePeerMessage {}

    /** Releases a permit, or withdraws the request for it. */
    record PermitReleased(PromptFingerprint fingerprint, long number) implements QuarantinePeerMessage {}
}

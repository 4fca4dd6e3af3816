package org.yuccagw.core.suspect;

import com.google.common.collect.ImmutableList;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.membership.EntryStatus;
import org.yuccagw.core.membership.MembersChanged;
import org.yuccagw.core.port.PeerMessage;

/** A fleet in which every entry decides on its own prompts, so that each is sent everything. */
public final class AllMembers implements ControlComponent, SuspectPartsComponent.Fleet {
    private ImmutableList<EntryId> others = ImmutableList.of();
    private ControlContext context;

    private AllMembers() {}

    /** Creates the fleet as one entry sees it, without other members at first. */
    public static AllMembers create() {
        return new AllMembers();
    }

    @Override
    public void start(ControlContext startContext) {
        context = startContext;
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof MembersChanged changed) {
            others = changed.entries().stream()
                    .filter(status -> status.state() != EntryStatus.State.DEAD)
                    .map(EntryStatus::entry)
                    .filter(entry -> !entry.equals(context.self().entry()))
                    .collect(ImmutableList.toImmutableList());
        }
    }

    @Override
    public boolean isReminding() {
        return true;
    }

    @Override
    public void sendToDeciding(PeerMessage message) {
        others.forEach(entry -> context.send(entry, message));
    }

    @Override
    public void sendToAll(PeerMessage message) {
        sendToDeciding(message);
    }
}

package org.yuccagw.core.peers;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.fleet.EntryContact;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;

/** Whether the fleet is a mesh or has leads, and who serves and leads in it, as far as this entry knows. */
public final class FleetTopology {
    /** In a mesh of 16 an entry sends 50 messages per second, as many as a lead of 16 other entries. */
    static final int MAX_MESH_ENTRIES = 16;

    /**
     * Number of entries up to which a fleet with leads becomes a mesh again. Lower than {@link #MAX_MESH_ENTRIES}, so
     * that a single entry that joins and leaves doesn't switch the mode.
     */
    private static final int MAX_ENTRIES_TO_RETURN_TO_MESH = 12;

    private final Supplier<FleetView> viewSource;
    private EntryId self;
    private FailureDomain ownDomain;
    private boolean meshed = true;
    private Optional<FleetView> view = Optional.empty();

    /**
     * Creates the topology of one entry.
     *
     * @param viewSource computes the present view; called when it is needed after {@link #invalidate}
     */
    FleetTopology(Supplier<FleetView> viewSource) {
        this.viewSource = viewSource;
    }

    void start(ControlContext context) {
        self = context.self().entry();
        ownDomain = context.self().domain();
    }

    FleetView view() {
        if (view.isEmpty()) {
            view = Optional.of(viewSource.get());
        }
        return view.get();
    }

    /** Discards the view, since the state from which it was computed has changed. */
    void invalidate() {
        view = Optional.empty();
    }

    /**
     * Switches between a mesh and leads if the size of the fleet requires it.
     *
     * @param entries number of known entries, including this one
     * @return whether the mode has changed
     */
    boolean updateMode(int entries) {
        boolean exceedsMesh = meshed ? entries > MAX_MESH_ENTRIES : entries > MAX_ENTRIES_TO_RETURN_TO_MESH;
        if (exceedsMesh != meshed) {
            return false;
        }
        meshed = !exceedsMesh;
        invalidate();
        return true;
    }

    /** Returns whether the fleet is small enough that every entry sends heartbeats to every other one. */
    public boolean isMeshed() {
        return meshed;
    }

    /**
     * Returns whether this entry is the first lead of its failure domain, which watches the key-value service on behalf
     * of the others.
     */
    public boolean isFirstLead() {
        return !meshed && leadsOfOwnDomain().stream().findFirst().equals(Optional.of(self));
    }

    /** Returns whether this entry is a lead of its failure domain. */
    boolean isAmongLeads() {
        return leadsOfOwnDomain().contains(self);
    }

    /** Returns the leads of the own failure domain, the first one first, also those that may be starting. */
    List<EntryId> leadsOfOwnDomain() {
        return view().leadsOf(ownDomain);
    }

    /** Returns the entries that are alive and take requests, including this one if it does, ordered by id. */
    public List<EntryId> serving() {
        return FleetView.entryIds(view().serving());
    }

    /** Returns the contacts of {@link #allLeads}. */
    public ImmutableList<EntryContact> allLeadContacts() {
        return meshed ? view().serving() : view().servingLeadContacts();
    }

    /** Returns the serving leads of the own failure domain, the first lead first; in a mesh all serving entries. */
    public List<EntryId> ownLeads() {
        return meshed ? serving() : view().servingLeadsOf(ownDomain);
    }

    /** Returns the first serving lead of each failure domain; in a mesh all serving entries. */
    public List<EntryId> firstLeads() {
        return meshed ? serving() : view().servingLeadsOfAll(1);
    }

    /** Returns the contacts of {@link #firstLeads}. */
    public List<EntryContact> firstLeadContacts() {
        List<EntryId> leads = firstLeads();
        return allLeadContacts().stream()
                .filter(contact -> leads.contains(contact.entry()))
                .toList();
    }

    /** Returns the serving leads of all failure domains; in a mesh all serving entries. */
    public List<EntryId> allLeads() {
        return meshed ? serving() : view().servingLeadsOfAll(LeadOrder.LEADS_PER_DOMAIN);
    }
}

package org.magnoliabridge.membership;

import java.util.Optional;
import org.magnoliabridge.ids.NodeId;

/** A report about a member; the location is left out when only the state changed, to save bytes. */
record MemberUpdate(NodeId id, MemberState state, Optional<NodeLocation> location) {
    /** Returns the reported capacity in thousandths of a core. */
    int capacityMillicores() {
        return location.map(NodeLocation::capacityMillicores).orElse(NodeLocation.UNKNOWN_CAPACITY);
    }

    /** Returns this report with another capacity; unchanged if it has no location. */
    MemberUpdate withCapacity(int millicores) {
        return new MemberUpdate(id, state, location.map(l -> l.withCapacity(millicores)));
    }

    /** Returns this report with another store counter. */
    MemberUpdate withStoreChanges(int changes) {
        return new MemberUpdate(id, state.withStoreChanges(changes), location);
    }
}

package org.magnoliabridge.membership;

import java.util.Objects;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.ProcessName;
import org.magnoliabridge.membership.MemberState.Liveness;

/**
 * A node of the cluster, as another node knows it.
 *
 * @param loadPermille load that the node reports of itself, 0 to 1000
 */
public record Member(NodeId id, MemberState state, NodeLocation location, int loadPermille) {
    public Member {
        Objects.requireNonNull(id);
        Objects.requireNonNull(state);
        Objects.requireNonNull(location);
    }

    /** Returns the process of the member, as far as this node knows. */
    public ProcessName process() {
        return new ProcessName(id, state.incarnation());
    }

    /** Returns whether the member is alive, as far as this node knows. */
    public boolean isAlive() {
        return state.liveness() == Liveness.ALIVE;
    }

    /** Returns whether new work may be sent to it. */
    public boolean acceptsWork() {
        return isAlive() && !state.leaving();
    }
}

package org.magnoliabridge.membership;

import java.util.Objects;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.membership.Standing.State;

/**
 * A node as another one knows it.
 *
 * @param loadPermille its own report of its load, 0 to 1000
 */
public record Member(NodeId id, Standing standing, Place place, int loadPermille) {
    public Member {
        Objects.requireNonNull(id);
        Objects.requireNonNull(standing);
        Objects.requireNonNull(place);
    }

    /** Returns whether the member answers, as far as is known. */
    public boolean isAlive() {
        return standing.state() == State.ALIVE;
    }

    /** Returns whether new work may be sent to it. */
    public boolean takesWork() {
        return isAlive() && !standing.leaving();
    }
}

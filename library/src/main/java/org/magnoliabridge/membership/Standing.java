package org.magnoliabridge.membership;

import java.util.Objects;
import org.magnoliabridge.ids.Incarnation;

/**
 * What is known of a member's state; two reports merge into the same result in any order.
 *
 * @param incarnation the member's start; a later start replaces everything known of an earlier one
 * @param refutation raised by the member itself to contradict a suspicion
 * @param leaving whether the member drains; stays for the rest of this incarnation
 */
public record Standing(Incarnation incarnation, int refutation, State state, boolean leaving) {
    public Standing {
        Objects.requireNonNull(incarnation);
        Objects.requireNonNull(state);
    }

    /** Returns both reports together. */
    public Standing merge(Standing other) {
        if (!incarnation.equals(other.incarnation)) {
            return other.incarnation.isAfter(incarnation) ? other : this;
        }
        Standing newer = isNewer(other) ? other : this;
        return new Standing(incarnation, newer.refutation, newer.state, leaving || other.leaving);
    }

    Standing with(State other) {
        return new Standing(incarnation, refutation, other, leaving);
    }

    private boolean isNewer(Standing other) {
        return other.refutation != refutation ? other.refutation > refutation : other.state.compareTo(state) > 0;
    }

    /** The states in the order in which a later one replaces an earlier one of the same refutation. */
    public enum State {
        ALIVE(0),
        SUSPECT(1),
        DEAD(2);

        private final int number;

        State(int number) {
            this.number = number;
        }

        /** Returns the number on the wire. */
        int number() {
            return number;
        }
    }
}

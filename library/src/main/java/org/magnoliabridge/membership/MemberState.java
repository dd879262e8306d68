package org.magnoliabridge.membership;

import java.util.Objects;
import org.magnoliabridge.ids.Incarnation;

/**
 * The state of a member as far as it is known; reports merge into the same result in any order.
 *
 * @param incarnation identifies one start of the member; a later one replaces everything known of an earlier one
 * @param refutation counter that the member itself raises to refute a suspicion
 * @param leaving whether the member drains; stays true for the rest of this incarnation
 */
public record MemberState(Incarnation incarnation, int refutation, Liveness liveness, boolean leaving) {
    public MemberState {
        Objects.requireNonNull(incarnation);
        Objects.requireNonNull(liveness);
    }

    /** Returns the merged state of both reports. */
    public MemberState merge(MemberState other) {
        if (!incarnation.equals(other.incarnation)) {
            return other.incarnation.isAfter(incarnation) ? other : this;
        }
        MemberState newer = isNewer(other) ? other : this;
        return new MemberState(incarnation, newer.refutation, newer.liveness, leaving || other.leaving);
    }

    MemberState with(Liveness other) {
        return new MemberState(incarnation, refutation, other, leaving);
    }

    private boolean isNewer(MemberState other) {
        return other.refutation != refutation ? other.refutation > refutation : other.liveness.compareTo(liveness) > 0;
    }

    /** Liveness by precedence: at the same refutation, a later constant replaces an earlier one. */
    public enum Liveness {
        ALIVE(0),
        SUSPECT(1),
        DEAD(2);

        private final int number;

        Liveness(int number) {
            this.number = number;
        }

        /** Returns the number on the wire. */
        int number() {
            return number;
        }
    }
}

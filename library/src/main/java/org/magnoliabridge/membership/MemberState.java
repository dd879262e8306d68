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
public record MemberState(Incarnation incarnation, int refutation, Liveness liveness, boolean leaving) {
    public MemberState {
        Objects.requireNonNull(incarnation);
        Objects.requireNonNull(liveness);
    }

    /** Returns both reports together. */
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

    /** The states in the order in which a later one replaces an earlier one of the same refutation. */
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

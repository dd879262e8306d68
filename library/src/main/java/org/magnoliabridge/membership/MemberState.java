package org.magnoliabridge.membership;

import java.util.Objects;
import org.magnoliabridge.ids.Incarnation;

/**
 * The state of a member as far as it is known; reports merge into the same result in any order.
 *
 * @param incarnation identifies one start of the member; a later one replaces everything known of an earlier one
 * @param refutation counter that the member itself raises to refute a suspicion
 * @param leaving whether the member drains; stays true for the rest of this incarnation
 * @param storeChanges counter that the member itself raises when the store begins or ceases to serve its own calls: odd
 *     while it does, {@link #STORE_UNREPORTED} from a member that does not report it
 */
public record MemberState(
        Incarnation incarnation, int refutation, Liveness liveness, boolean leaving, int storeChanges) {
    /** The store counter of a member that does not report whether the store serves it. */
    static final int STORE_UNREPORTED = 0;

    public MemberState {
        Objects.requireNonNull(incarnation);
        Objects.requireNonNull(liveness);
        if (storeChanges < 0) {
            throw new IllegalArgumentException("store counter must not be negative, found " + storeChanges);
        }
    }

    /** Creates the state of a member that does not report whether the store serves it. */
    public MemberState(Incarnation incarnation, int refutation, Liveness liveness, boolean leaving) {
        this(incarnation, refutation, liveness, leaving, STORE_UNREPORTED);
    }

    /** Returns whether the store serves the member's own calls; true if the member does not report it. */
    public boolean storeServes() {
        return storeChanges == STORE_UNREPORTED || storeChanges % 2 == 1;
    }

    /** Returns the merged state of both reports. */
    public MemberState merge(MemberState other) {
        if (!incarnation.equals(other.incarnation)) {
            return other.incarnation.isAfter(incarnation) ? other : this;
        }
        MemberState newer = isNewer(other) ? other : this;
        return new MemberState(
                incarnation,
                newer.refutation,
                newer.liveness,
                leaving || other.leaving,
                Math.max(storeChanges, other.storeChanges));
    }

    MemberState with(Liveness other) {
        return new MemberState(incarnation, refutation, other, leaving, storeChanges);
    }

    MemberState withStoreChanges(int changes) {
        return new MemberState(incarnation, refutation, liveness, leaving, changes);
    }

    MemberState withLeaving() {
        return new MemberState(incarnation, refutation, liveness, true, storeChanges);
    }

    /** Returns this state with a report whether the store serves this member; the same if it is reported already. */
    MemberState withStoreServing(boolean serves) {
        int odd = serves ? 1 : 0;
        return storeChanges != STORE_UNREPORTED && storeServes() == serves
                ? this
                : withStoreChanges(storeChanges + (storeChanges % 2 == odd ? 2 : 1));
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

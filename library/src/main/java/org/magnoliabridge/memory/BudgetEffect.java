package org.magnoliabridge.memory;

/** What a {@link ByteBudget} has decided about a claim. */
sealed interface BudgetEffect {
    /** Returns the claim that the decision is about. */
    ClaimId claim();

    /** Why bytes are not granted. */
    enum Reason {
        /** The bytes do not fit even if no other claim holds any. */
        NEVER_FITS,
        /** No room became free in time. */
        NO_ROOM,
        /** The claim has been told to give way. */
        EVICTED
    }

    /** The claim holds the bytes that it asked for. */
    record Granted(ClaimId claim) implements BudgetEffect {}

    /** The claim does not get the bytes that it asked for last, and keeps those that it holds. */
    record Refused(ClaimId claim, Reason reason) implements BudgetEffect {}

    /** The claim must be released; its bytes are free when it is. */
    record Evicted(ClaimId claim) implements BudgetEffect {}
}

package org.magnoliabridge.memory;

/** What a {@link ByteBudget} decides upon. */
sealed interface BudgetInput {
    /**
     * A claim without bytes.
     *
     * @param origin the IP address of the caller or endpoint
     * @param evictable whether the claim can be told to give way
     */
    record Open(ClaimId claim, Holding holding, String origin, boolean evictable) implements BudgetInput {}

    /**
     * A claim asks for more bytes.
     *
     * @param waitMs how long it waits for room, in milliseconds; 0 if it does not wait
     */
    record Ask(ClaimId claim, long bytes, long waitMs) implements BudgetInput {}

    /** A claim does not wait any longer; what was granted before stays granted. */
    record Withdraw(ClaimId claim) implements BudgetInput {}

    /** Bytes of the claim's request or answer have moved. */
    record Progress(ClaimId claim) implements BudgetInput {}

    /** All bytes of a claim belong to another one, which holds none yet, and the first one ends. */
    record Move(ClaimId from, ClaimId to) implements BudgetInput {}

    /** A claim returns all its bytes and ends. */
    record Release(ClaimId claim) implements BudgetInput {}

    /** Time has passed; expected at least every 100 ms while a claim waits. */
    record Tick() implements BudgetInput {}
}

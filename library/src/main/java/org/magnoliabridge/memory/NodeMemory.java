package org.magnoliabridge.memory;

/** Grants the bytes that a node holds for callers and endpoints. */
public interface NodeMemory {
    /**
     * Opens a claim without bytes.
     *
     * @param origin the IP address of the caller or endpoint, among which room is divided
     */
    MemoryClaim open(Holding holding, String origin, MemoryClaim.Owner owner);

    /** Opens a claim whose owner is not told anything: it only takes what has room, and is never evicted. */
    MemoryClaim open(Holding holding, String origin);

    /**
     * Offers the claim of complete content to whoever passes the content on, so that its bytes are counted once and
     * without a gap. A claim that is not taken over soon is closed.
     */
    default void offer(Content content, MemoryClaim claim) {
        claim.close();
    }

    /**
     * Moves the bytes that were offered with this very content to a claim without bytes.
     *
     * @return whether there were any
     */
    default boolean takeOver(Content content, MemoryClaim claim) {
        return false;
    }
}

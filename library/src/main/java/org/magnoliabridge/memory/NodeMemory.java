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
}

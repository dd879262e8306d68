package org.magnoliabridge.membership;

/** Decides whether a node reports that the store serves its own calls; short changes are not reported. */
public final class StoreAccess {
    // A single call that fails is no loss of the store, and a node that reports each one fills the gossip.
    private static final long LOST_AFTER_MS = 500;
    private static final long SERVES_AFTER_MS = 1_000;

    private boolean serves = true;
    private long agreedAtMs;

    public StoreAccess(long nowMs) {
        this.agreedAtMs = nowMs;
    }

    /**
     * Returns whether to report that the store serves this node; called several times a second.
     *
     * @param unavailable whether the last call to the store failed
     */
    public boolean update(boolean unavailable, long nowMs) {
        if (unavailable != serves) {
            agreedAtMs = nowMs;
        } else if (nowMs - agreedAtMs >= (serves ? LOST_AFTER_MS : SERVES_AFTER_MS)) {
            serves = !serves;
            agreedAtMs = nowMs;
        }
        return serves;
    }
}

package org.magnoliabridge.external;

/**
 * Decides whether a call goes to the object store itself or to another node that makes it.
 *
 * <p>Load pattern: the store turns some nodes away, or cannot be reached by them, while it serves the others. A node
 * that was turned away asks others, and tries the store itself with one call a period, so that it neither loses the
 * time of every call nor stays with the others for good. Thread-safe.
 */
public final class StoreRouteSelector {
    /** Where a call goes. */
    public enum Route {
        /** To the store. */
        DIRECT,
        /** To another node. */
        RELAYED
    }

    private static final long FIRST_PROBE_MS = 300;
    private static final long MAX_PROBE_MS = 2_000;

    private boolean storeUnavailable;
    private long probeMs = FIRST_PROBE_MS;
    private long nextProbeMs;

    /** Returns the way of a call that starts now. */
    public synchronized Route choose(long nowMs) {
        if (!storeUnavailable) {
            return Route.DIRECT;
        }
        if (nowMs < nextProbeMs) {
            return Route.RELAYED;
        }
        nextProbeMs = nowMs + probeMs;
        return Route.DIRECT;
    }

    /** Returns whether the store turned this node away last. */
    public synchronized boolean isStoreUnavailable() {
        return storeUnavailable;
    }

    /** Takes that the store served a call; returns whether this node was turned away before. */
    public synchronized boolean storeServed() {
        boolean changed = storeUnavailable;
        storeUnavailable = false;
        probeMs = FIRST_PROBE_MS;
        return changed;
    }

    /** Takes that the store did not serve a call; returns whether it did before. */
    public synchronized boolean storeFailed(long nowMs) {
        boolean changed = !storeUnavailable;
        storeUnavailable = true;
        nextProbeMs = nowMs + probeMs;
        probeMs = Math.min(MAX_PROBE_MS, probeMs * 2);
        return changed;
    }
}

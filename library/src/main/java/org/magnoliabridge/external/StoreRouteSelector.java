package org.magnoliabridge.external;

/**
 * Decides whether a call goes directly to the object store or is relayed by another node.
 *
 * <p>Failure case: the store refuses some nodes, or is unreachable from them, while it serves the others. A node whose
 * direct call failed relays its calls through other nodes and probes the store with one direct call per period. So it
 * neither loses time on a failing direct call each time, nor keeps relaying after the store serves it again.
 * Thread-safe.
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

    /** Returns the route of a call that starts now. */
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

    /** Returns whether the last direct call of this node failed. */
    public synchronized boolean isStoreUnavailable() {
        return storeUnavailable;
    }

    /** Records that the store served a call; returns whether the store was unavailable before. */
    public synchronized boolean storeServed() {
        boolean changed = storeUnavailable;
        storeUnavailable = false;
        probeMs = FIRST_PROBE_MS;
        return changed;
    }

    /** Records that the store did not serve a call; returns whether the store was available before. */
    public synchronized boolean storeFailed(long nowMs) {
        boolean changed = !storeUnavailable;
        storeUnavailable = true;
        nextProbeMs = nowMs + probeMs;
        probeMs = Math.min(MAX_PROBE_MS, probeMs * 2);
        return changed;
    }
}

package org.magnoliabridge.external;

/**
 * Decides whether a call goes to the object store itself or to another node that makes it.
 *
 * <p>Load pattern: the store turns some nodes away, or cannot be reached by them, while it serves the others. A node
 * that was turned away asks others, and tries the store itself with one call a period, so that it neither loses the
 * time of every call nor stays with the others for good. Thread-safe.
 */
public final class StorePath {
    /** Where a call goes. */
    public enum Way {
        /** To the store. */
        DIRECT,
        /** To another node. */
        RELAYED
    }

    private static final long FIRST_PROBE_MS = 300;
    private static final long MAX_PROBE_MS = 2_000;

    private boolean away;
    private long probeMs = FIRST_PROBE_MS;
    private long nextProbeMs;

    /** Returns the way of a call that starts now. */
    public synchronized Way choose(long nowMs) {
        if (!away) {
            return Way.DIRECT;
        }
        if (nowMs < nextProbeMs) {
            return Way.RELAYED;
        }
        nextProbeMs = nowMs + probeMs;
        return Way.DIRECT;
    }

    /** Returns whether the store turned this node away last. */
    public synchronized boolean isAway() {
        return away;
    }

    /** Takes that the store served a call; returns whether this node was turned away before. */
    public synchronized boolean served() {
        boolean changed = away;
        away = false;
        probeMs = FIRST_PROBE_MS;
        return changed;
    }

    /** Takes that the store did not serve a call; returns whether it did before. */
    public synchronized boolean turnedAway(long nowMs) {
        boolean changed = !away;
        away = true;
        nextProbeMs = nowMs + probeMs;
        probeMs = Math.min(MAX_PROBE_MS, probeMs * 2);
        return changed;
    }
}

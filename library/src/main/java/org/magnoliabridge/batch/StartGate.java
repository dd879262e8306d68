package org.magnoliabridge.batch;

import org.magnoliabridge.ids.BatchId;

/**
 * Decides immediately before a run is sent whether its batch may still be open; thread-safe.
 *
 * <p>Load pattern: on an overloaded node the control thread handles the end of a batch seconds after it was confirmed.
 * The threads that send runs ask this gate instead, which records ends as soon as they are read. A runner that
 * missed an end learns of it from its next check of the store. Without a recent check it sends nothing, so the time
 * between the confirmation of an end and the last run sent is at most {@link #MAX_CHECK_AGE_MS}.
 */
public final class StartGate {
    /** Interval between the starts of two checks in milliseconds. */
    public static final long CHECK_PERIOD_MS = 1_000;

    // An item may reach its engine up to 3 s after the confirmation of the end; connecting takes up to 0.4 s.
    static final long MAX_CHECK_AGE_MS = 2_500;

    private final EndedBatches<BatchId> ended = new EndedBatches<>();
    private long checkedAtMs = Long.MIN_VALUE;

    /** Whether a run may be sent. */
    public enum Decision {
        /** The batch was open recently. */
        SEND,
        /** The last check is too old. */
        CHECK_FIRST,
        /** The batch has ended. */
        ENDED
    }

    /** Records that a batch has ended; returns false if this was known. */
    public synchronized boolean end(BatchId batch) {
        return ended.add(batch);
    }

    /**
     * Records that all ends that the store had confirmed before a time are known. A check that fails counts only if
     * other nodes cannot read the store either: the store then confirms no end, and the batches go on.
     *
     * @param asOfMs the start of a check that succeeded, or the end of a check that other nodes could not make either
     */
    public synchronized void checked(long asOfMs) {
        checkedAtMs = Math.max(checkedAtMs, asOfMs);
    }

    /** Decides whether a run of a batch may be sent now. */
    public synchronized Decision decide(long nowMs, BatchId batch) {
        if (ended.contains(batch)) {
            return Decision.ENDED;
        }
        boolean recent = checkedAtMs != Long.MIN_VALUE && nowMs - checkedAtMs <= MAX_CHECK_AGE_MS;
        return recent ? Decision.SEND : Decision.CHECK_FIRST;
    }
}

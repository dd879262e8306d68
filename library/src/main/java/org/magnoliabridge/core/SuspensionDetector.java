package org.magnoliabridge.core;

import java.util.Objects;
import java.util.function.LongSupplier;

/**
 * Detects that the machine was suspended, during which its monotonic clock may stand still while other machines go on.
 *
 * <p>A suspension shows as an advance of the wall clock against the monotonic clock. A step of the wall clock ahead
 * looks the same and counts too; a suspension that a step back hides is not detected.
 */
public final class SuspensionDetector {
    // Well above the resolution of the clocks and the time between two readings, below the margins of a lease.
    private static final long MIN_JUMP_MS = 100;
    // The readings of the clocks belong together if the thread was not preempted for longer than this.
    private static final long MAX_READING_MS = 20;
    private static final int MAX_READINGS = 5;

    private final MonotonicClock clock;
    private final LongSupplier wallClock;
    private long leastOffsetMs;
    private long detected;

    /**
     * Creates a detector that compares with the current time.
     *
     * @param wallClock milliseconds since the epoch
     */
    public SuspensionDetector(MonotonicClock clock, LongSupplier wallClock) {
        this.clock = Objects.requireNonNull(clock);
        this.wallClock = Objects.requireNonNull(wallClock);
        this.leastOffsetMs = offsetMs();
    }

    /** Returns the number of suspensions until now; any thread may call. */
    public synchronized long detected() {
        long offsetMs = offsetMs();
        if (offsetMs - leastOffsetMs > MIN_JUMP_MS) {
            leastOffsetMs = offsetMs;
            detected++;
        }
        leastOffsetMs = Math.min(leastOffsetMs, offsetMs);
        return detected;
    }

    private long offsetMs() {
        long offsetMs = 0;
        for (int i = 0; i < MAX_READINGS; i++) {
            long beforeMs = clock.nowMs();
            offsetMs = wallClock.getAsLong() - beforeMs;
            if (clock.nowMs() - beforeMs <= MAX_READING_MS) {
                return offsetMs;
            }
        }
        return offsetMs;
    }
}

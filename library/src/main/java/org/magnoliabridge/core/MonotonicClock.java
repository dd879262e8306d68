package org.magnoliabridge.core;

import java.util.concurrent.TimeUnit;

/** Gives a monotonic time in milliseconds; its origin is arbitrary, so values of two processes do not compare. */
@FunctionalInterface
public interface MonotonicClock {
    /** Returns the current time in milliseconds; never goes backwards. */
    long nowMs();

    /** Returns the clock of this process. */
    static MonotonicClock system() {
        return () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}

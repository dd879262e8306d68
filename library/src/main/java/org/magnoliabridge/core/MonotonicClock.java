package org.magnoliabridge.core;

import java.util.concurrent.TimeUnit;

/**
 * A monotonic clock in milliseconds.
 *
 * <p>Its origin is arbitrary, so values from different processes are not comparable.
 */
@FunctionalInterface
public interface MonotonicClock {
    /** Returns the current time in milliseconds; never goes backwards. */
    long nowMs();

    /** Returns the clock of this process. */
    static MonotonicClock system() {
        return () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}

package org.magnoliabridge.calls;

import org.magnoliabridge.http.HttpLimits;

/**
 * Time limits of calls to back ends, in milliseconds.
 *
 * @param connectMs to open a new connection
 * @param firstByteMs until the response begins
 * @param progressMs between two reads of the response
 */
public record CallLimits(long connectMs, long firstByteMs, long progressMs) {
    /** The limits of a node whose settings define none. */
    public static final CallLimits DEFAULT = new CallLimits(1_000, 10_000, 5_000);

    /**
     * Returns limits for an attempt that cannot be retried: once connected, it ends only at the deadline, also if the
     * endpoint sends nothing.
     */
    HttpLimits deadlineOnly(long remainingMs) {
        long total = Math.max(1, remainingMs);
        return new HttpLimits(Math.min(connectMs, total), total, total, total);
    }

    /** Returns these limits, each capped at the time that remains until the deadline. */
    HttpLimits within(long remainingMs) {
        long total = Math.max(1, remainingMs);
        return new HttpLimits(
                Math.min(connectMs, total), Math.min(firstByteMs, total), Math.min(progressMs, total), total);
    }
}

package org.magnoliabridge.calls;

import org.magnoliabridge.http.HttpLimits;

/**
 * Time limits of calls to back ends, in milliseconds.
 *
 * @param connectMs for a new connection
 * @param firstByteMs until the answer begins
 * @param progressMs between two pieces of an answer
 */
public record CallLimits(long connectMs, long firstByteMs, long progressMs) {
    /** The limits of a node without settings of its own. */
    public static final CallLimits DEFAULT = new CallLimits(1_000, 10_000, 5_000);

    /**
     * Returns the limits of a call of which {@code remainingMs} are left and that nobody else can answer: once it is
     * connected, silence does not end it before its deadline.
     */
    HttpLimits deadlineOnly(long remainingMs) {
        long total = Math.max(1, remainingMs);
        return new HttpLimits(Math.min(connectMs, total), total, total, total);
    }

    /** Returns the limits of a call of which {@code remainingMs} are left before its deadline. */
    HttpLimits within(long remainingMs) {
        long total = Math.max(1, remainingMs);
        return new HttpLimits(
                Math.min(connectMs, total), Math.min(firstByteMs, total), Math.min(progressMs, total), total);
    }
}

package org.magnoliabridge.http;

/**
 * Time limits of a call, in milliseconds.
 *
 * @param connectMs for opening a new connection
 * @param firstByteMs from sending the request to receiving the status of the answer
 * @param progressMs between two reads of the answer
 * @param totalMs for the whole call
 */
public record HttpLimits(long connectMs, long firstByteMs, long progressMs, long totalMs) {
    public HttpLimits {
        if (connectMs < 1 || firstByteMs < 1 || progressMs < 1 || totalMs < 1) {
            throw new IllegalArgumentException("time limits must be at least 1 ms");
        }
    }

    /** Returns limits that all equal the total, with at most one second to connect. */
    public static HttpLimits total(long totalMs) {
        return new HttpLimits(Math.min(totalMs, 1_000), totalMs, totalMs, totalMs);
    }
}

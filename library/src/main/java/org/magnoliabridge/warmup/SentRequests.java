package org.magnoliabridge.warmup;

import java.util.ArrayDeque;
import java.util.Deque;

/** The times of one sender's latest requests to an endpoint. */
final class SentRequests {
    // A part of a span in which at most the same part of the requests may be sent, so that the slots of an endpoint
    // come into use in steps.
    private static final int STEPS = 4;

    private final Deque<Long> times = new ArrayDeque<>();
    // Whether a request has been held back since the last one that was sent.
    private boolean heldBack;

    void add(long nowMs) {
        times.addLast(nowMs);
        heldBack = false;
    }

    /** Returns whether one more request keeps to a limit in any span that ends now, and to its steps. */
    boolean allows(long nowMs, int requests, long spanMs) {
        forgetBefore(nowMs - spanMs);
        int perStep = (requests + STEPS - 1) / STEPS;
        return times.size() < requests && countSince(nowMs - spanMs / STEPS) < perStep;
    }

    /** Forgets the requests before a time. */
    void forgetBefore(long fromMs) {
        while (!times.isEmpty() && times.getFirst() < fromMs) {
            times.removeFirst();
        }
    }

    /** Returns the number of requests since a time, that time included. */
    long countSince(long fromMs) {
        long count = 0;
        for (long time : times) {
            count += time >= fromMs ? 1 : 0;
        }
        return count;
    }

    /** Records that a request is held back; returns whether it is the first since the last one that was sent. */
    boolean holdBack() {
        boolean first = !heldBack;
        heldBack = true;
        return first;
    }
}

package org.magnoliabridge.warmup;

import java.util.List;

/** Counts in spans of time that begin and end anywhere. */
final class Spans {
    private Spans() {}

    /** Returns the largest number of times within a span, its ends included; the times must be in order. */
    static int most(List<Long> times, long spanMs) {
        int most = 0;
        int first = 0;
        for (int last = 0; last < times.size(); last++) {
            while (times.get(last) - times.get(first) > spanMs) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }
}

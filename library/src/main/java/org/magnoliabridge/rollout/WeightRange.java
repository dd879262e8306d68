package org.magnoliabridge.rollout;

import java.util.List;
import java.util.Objects;
import org.magnoliabridge.ids.WeightVersion;

/**
 * Tokens of a sample that one weight version produced.
 *
 * @param from index of the first token
 * @param to index after the last token
 */
public record WeightRange(int from, int to, WeightVersion version) {
    public WeightRange {
        Objects.requireNonNull(version);
        if (from < 0 || to <= from) {
            throw new IllegalArgumentException("invalid token range: from " + from + " to " + to);
        }
    }

    /** Returns whether the ranges cover all tokens in order, without gap or overlap. */
    static boolean covers(List<WeightRange> ranges, int tokens) {
        int next = 0;
        for (WeightRange range : ranges) {
            if (range.from() != next) {
                return false;
            }
            next = range.to();
        }
        return next == tokens && tokens > 0;
    }

    static long minVersion(List<WeightRange> ranges) {
        return ranges.stream().mapToLong(r -> r.version().value()).min().orElseThrow();
    }
}

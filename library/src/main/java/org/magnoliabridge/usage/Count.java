package org.magnoliabridge.usage;

/** Numbers of delivered requests, prompt tokens and completion tokens. */
public record Count(long requests, long promptTokens, long completionTokens) {
    /** A count of no requests and no tokens. */
    public static final Count ZERO = new Count(0, 0, 0);

    /** Returns the sum, component by component. */
    public Count plus(Count other) {
        return new Count(
                requests + other.requests,
                promptTokens + other.promptTokens,
                completionTokens + other.completionTokens);
    }

    /** Returns the maximum of each component: the later state of a counter, because counters never decrease. */
    Count max(Count other) {
        return new Count(
                Math.max(requests, other.requests),
                Math.max(promptTokens, other.promptTokens),
                Math.max(completionTokens, other.completionTokens));
    }

    /** Returns by how much each component exceeds the same one of {@code other}, or zero if it does not. */
    Count excessOver(Count other) {
        return new Count(
                Math.max(0, requests - other.requests),
                Math.max(0, promptTokens - other.promptTokens),
                Math.max(0, completionTokens - other.completionTokens));
    }

    boolean isZero() {
        return equals(ZERO);
    }
}

package org.magnoliabridge.usage;

/** What was delivered: requests, prompt tokens and completion tokens. */
public record Count(long requests, long promptTokens, long completionTokens) {
    /** Nothing. */
    public static final Count ZERO = new Count(0, 0, 0);

    /** Returns the sum. */
    public Count plus(Count other) {
        return new Count(
                requests + other.requests,
                promptTokens + other.promptTokens,
                completionTokens + other.completionTokens);
    }

    /** Returns the larger of each figure: the newer one of two states of a counter that only rises. */
    Count max(Count other) {
        return new Count(
                Math.max(requests, other.requests),
                Math.max(promptTokens, other.promptTokens),
                Math.max(completionTokens, other.completionTokens));
    }

    /** Returns what this counter has more than the other, and nothing where it has less. */
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

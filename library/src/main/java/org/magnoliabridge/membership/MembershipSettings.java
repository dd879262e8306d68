package org.magnoliabridge.membership;

/**
 * Settings of the failure detection; times are in milliseconds.
 *
 * @param periodMs how often members are pinged; an unanswered ping makes its member suspect after this time
 * @param indirectAfterMs time without an answer after which other members are asked to ping the member
 * @param suspicionMs how long a suspect member may refute before it counts as dead
 * @param pings number of members that are pinged in a period
 * @param pingsAfterMiss number of members that are pinged in a period if a recent ping was not answered
 */
public record MembershipSettings(long periodMs, long indirectAfterMs, long suspicionMs, int pings, int pingsAfterMiss) {
    /**
     * For some hundred nodes. With one ping a second at all times, the smaller side of a partition of 340 nodes took
     * 23 s to detect that it has no majority.
     */
    public static final MembershipSettings DEFAULT = new MembershipSettings(1_000, 500, 3_000, 1, 4);

    /** For up to some dozen nodes whose work is taken over by others within a second. */
    public static final MembershipSettings FAST = new MembershipSettings(400, 200, 1_500, 4, 8);

    public MembershipSettings {
        if (periodMs < 1 || indirectAfterMs < 1 || indirectAfterMs >= periodMs || suspicionMs < 1) {
            throw new IllegalArgumentException(
                    "times must be positive and indirectAfterMs less than periodMs, found periodMs " + periodMs
                            + ", indirectAfterMs " + indirectAfterMs + ", suspicionMs " + suspicionMs);
        }
        if (pings < 1 || pingsAfterMiss < pings) {
            throw new IllegalArgumentException("expected 1 <= pings <= pingsAfterMiss, found pings " + pings
                    + ", pingsAfterMiss " + pingsAfterMiss);
        }
    }
}

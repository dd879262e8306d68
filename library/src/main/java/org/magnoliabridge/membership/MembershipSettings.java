package org.magnoliabridge.membership;

/**
 * Times of failure detection, in milliseconds.
 *
 * @param periodMs how often members are pinged; an unanswered ping makes its member suspect after this time
 * @param helpAfterMs when other members are asked to ping a member that has not answered
 * @param suspicionMs how long a suspect may contradict before it counts as dead
 * @param pings members that are pinged in a period
 * @param pingsInTrouble members that are pinged in a period while pings go unanswered
 */
public record MembershipSettings(long periodMs, long indirectAfterMs, long suspicionMs, int pings, int pingsAfterMiss) {
    /**
     * For some hundred nodes. With one ping a second at all times, the smaller side of a partition of 340 nodes took
     * 23 s to know that it is the smaller one.
     */
    public static final MembershipSettings DEFAULT = new MembershipSettings(1_000, 500, 3_000, 1, 4);

    /** For up to some dozen nodes whose work others take over within a second. */
    public static final MembershipSettings FAST = new MembershipSettings(400, 200, 1_500, 4, 8);

    public MembershipSettings {
        if (periodMs < 1 || indirectAfterMs < 1 || indirectAfterMs >= periodMs || suspicionMs < 1) {
            throw new IllegalArgumentException("times must be positive, and help is asked for within the period");
        }
        if (pings < 1 || pingsAfterMiss < pings) {
            throw new IllegalArgumentException("at least one member is pinged, and no fewer in trouble");
        }
    }
}

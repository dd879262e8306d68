package org.magnoliabridge.routing;

import java.util.Collection;

/** Computes which part of a team's rate belongs to this node. */
public final class DemandShare {
    // A node without demand of late keeps this part of an equal share, so that its first request is not refused.
    private static final double MIN_FRACTION_OF_EQUAL_SHARE = 0.25;

    private DemandShare() {}

    /**
     * Returns the share, from 0 to 1.
     *
     * <p>The shares of all nodes sum to at most 1 when they have the same figures.
     *
     * @param ownDemand tokens per second asked for at this node
     * @param peerDemands the same of each peer, as spread in pings
     * @param members number of live members including this node
     * @param peersReachable whether the figures are current; without them each node takes an equal share
     */
    public static double of(double ownDemand, Collection<Double> peerDemands, int members, boolean peersReachable) {
        if (members < 1) {
            throw new IllegalArgumentException("members must be at least 1: " + members);
        }
        double equal = 1.0 / members;
        double sum = ownDemand + peerDemands.stream().mapToDouble(d -> d).sum();
        if (!peersReachable || sum <= 0) {
            return equal;
        }
        double reserved = MIN_FRACTION_OF_EQUAL_SHARE * equal;
        return reserved + (1 - MIN_FRACTION_OF_EQUAL_SHARE) * ownDemand / sum;
    }
}

package org.magnoliabridge.routing;

import java.util.Collection;

/** Computes this node's share of a team's rate limit from the demand at each node. */
public final class DemandShare {
    // A node without recent demand keeps this fraction of an equal share, so that its first request is not refused.
    private static final double MIN_FRACTION_OF_EQUAL_SHARE = 0.25;

    private DemandShare() {}

    /**
     * Returns the share, from 0 to 1.
     *
     * <p>The shares of all nodes sum to at most 1 when the nodes use the same demand figures.
     *
     * @param ownDemand tokens per second requested at this node
     * @param peerDemands tokens per second requested at each peer, as received in membership pings
     * @param members number of live members, including this node
     * @param peersReachable whether the peers' figures are current; if not, each node takes an equal share
     */
    public static double of(double ownDemand, Collection<Double> peerDemands, int members, boolean peersReachable) {
        if (members < 1) {
            throw new IllegalArgumentException("members must be at least 1: " + members);
        }
        double equalShare = 1.0 / members;
        double totalDemand =
                ownDemand + peerDemands.stream().mapToDouble(demand -> demand).sum();
        if (!peersReachable || totalDemand <= 0) {
            return equalShare;
        }
        double reserved = MIN_FRACTION_OF_EQUAL_SHARE * equalShare;
        return reserved + (1 - MIN_FRACTION_OF_EQUAL_SHARE) * ownDemand / totalDemand;
    }
}

package org.magnoliabridge.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.magnoliabridge.ids.TeamId;

/** The teams' weights, token buckets and measured demand at this node. Deterministic and not thread-safe. */
final class TeamRates {
    private final Map<TeamId, TokenBucket> buckets = new HashMap<>();
    private final Map<TeamId, DemandMeter> demand = new TreeMap<>();
    private Map<TeamId, TeamPolicy> policies = Map.of();
    private Map<TeamId, Double> shares = Map.of();
    private double defaultShare = 1;

    void setPolicies(Map<TeamId, TeamPolicy> teams, long nowMs) {
        policies = teams;
        buckets.keySet().retainAll(teams.keySet());
        demand.keySet().retainAll(teams.keySet());
        update(nowMs);
    }

    void setShares(Map<TeamId, Double> teamShares, double otherTeamsShare, long nowMs) {
        shares = teamShares;
        defaultShare = otherTeamsShare;
        update(nowMs);
    }

    int weight(TeamId team) {
        TeamPolicy policy = policies.get(team);
        return policy == null ? 1 : policy.weight();
    }

    /** Returns the time in milliseconds until the team may send a request; 0 if it may send one now. */
    long waitMs(TeamId team, long nowMs) {
        TokenBucket bucket = buckets.get(team);
        return bucket == null ? 0 : bucket.waitMs(nowMs);
    }

    /** Records the tokens that a team requests, whether the request is then admitted or refused. */
    void recordDemand(TeamId team, int tokens, long nowMs) {
        if (policies.containsKey(team)) {
            demand.computeIfAbsent(team, t -> new DemandMeter(nowMs)).add(tokens, nowMs);
        }
    }

    /** Returns the tokens per second that each team requests at this node. */
    Map<TeamId, Double> demand(long nowMs) {
        Map<TeamId, Double> all = new TreeMap<>();
        demand.forEach((team, meter) -> all.put(team, meter.tokensPerSecond(nowMs)));
        return all;
    }

    void take(TeamId team, int tokens, long nowMs) {
        TokenBucket bucket = buckets.get(team);
        if (bucket != null) {
            bucket.take(tokens, nowMs);
        }
    }

    private void update(long nowMs) {
        policies.forEach((team, policy) -> {
            double rate = Math.max(1, policy.tokensPerSecond() * shares.getOrDefault(team, defaultShare));
            buckets.computeIfAbsent(team, t -> new TokenBucket(rate, nowMs)).setRate(rate, nowMs);
        });
    }
}

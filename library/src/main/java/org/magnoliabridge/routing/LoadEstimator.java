package org.magnoliabridge.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.magnoliabridge.calls.LoadReport;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.WeightVersion;

/**
 * Estimates the load of endpoints in tokens: this node's own requests in flight, which are known exactly, plus the
 * requests of other nodes according to lagging load reports. Deterministic and not thread-safe.
 *
 * <p>As a report ages, the estimate moves towards the mean of the endpoints, not towards zero: an endpoint without
 * recent reports would otherwise look idle and attract the requests of every node.
 */
public final class LoadEstimator {
    // Requests last a few seconds and reports lag by about one second, so older reports carry little information. With
    // 2,000 ms, the 99th percentile of the time to the first token at half load was 340 ms instead of 260 ms
    // (docs/measurements/routing.md).
    private static final double HALF_LIFE_MS = 500;
    private static final double INITIAL_MEAN_REQUEST_TOKENS = 256;
    private static final double MEAN_SMOOTHING = 0.05;

    private final Map<EndpointId, OwnWork> ownWork = new HashMap<>();
    private final Map<EndpointId, Reported> reports = new HashMap<>();
    private double meanRequestTokens = INITIAL_MEAN_REQUEST_TOKENS;

    private static final class OwnWork {
        private int requests;
        private long tokens;
    }

    private record Reported(LoadReport report, int ownRequests, long atMs) {}

    /** Adds a request that is sent to the endpoint, with its estimated tokens. */
    public void begin(EndpointId endpoint, int tokens) {
        OwnWork work = ownWork.computeIfAbsent(endpoint, id -> new OwnWork());
        work.requests++;
        work.tokens += tokens;
    }

    /**
     * Removes a request that has ended.
     *
     * @param tokens the estimate that was given to {@link #begin}
     */
    public void end(EndpointId endpoint, int tokens, int usedTokens) {
        OwnWork work = ownWork.get(endpoint);
        work.requests--;
        work.tokens -= tokens;
        if (work.requests == 0) {
            ownWork.remove(endpoint);
        }
        meanRequestTokens += MEAN_SMOOTHING * (usedTokens - meanRequestTokens);
    }

    /** Stores the latest load report of an endpoint. */
    public void report(EndpointId endpoint, LoadReport report, long nowMs) {
        reports.put(endpoint, new Reported(report, requests(endpoint), nowMs));
    }

    /** Removes the reports of all endpoints that are not among these. */
    public void retain(Collection<EndpointId> endpoints) {
        reports.keySet().retainAll(endpoints);
    }

    /** Returns the number of requests that this node has in flight at the endpoint. */
    public int requests(EndpointId endpoint) {
        OwnWork work = ownWork.get(endpoint);
        return work == null ? 0 : work.requests;
    }

    /** Returns the weight version in the last report of the endpoint. */
    public Optional<WeightVersion> version(EndpointId endpoint) {
        return Optional.ofNullable(reports.get(endpoint)).map(r -> r.report().version());
    }

    /** Returns whether the last report of the endpoint lists the prefix as cached. */
    public boolean reportsPrefix(EndpointId endpoint, String prefix) {
        Reported reported = reports.get(endpoint);
        return reported != null && reported.report().cachedPrefixes().contains(prefix);
    }

    /** Returns the estimated load of each of these endpoints, in tokens. */
    public Map<EndpointId, Double> estimates(Collection<EndpointId> endpoints, long nowMs) {
        double mean = endpoints.stream()
                .map(reports::get)
                .filter(r -> r != null)
                .mapToDouble(this::othersTokens)
                .average()
                .orElse(0);
        Map<EndpointId, Double> loads = new HashMap<>();
        for (EndpointId id : endpoints) {
            OwnWork work = ownWork.get(id);
            double ownTokens = work == null ? 0 : work.tokens;
            loads.put(id, ownTokens + othersTokens(reports.get(id), mean, nowMs));
        }
        return loads;
    }

    private double othersTokens(Reported reported, double mean, long nowMs) {
        if (reported == null) {
            return mean;
        }
        double freshness = Math.pow(0.5, (nowMs - reported.atMs()) / HALF_LIFE_MS);
        return freshness * othersTokens(reported) + (1 - freshness) * mean;
    }

    private double othersTokens(Reported reported) {
        LoadReport report = reported.report();
        return Math.max(0, report.running() + report.waiting() - reported.ownRequests()) * meanRequestTokens;
    }
}

package org.magnoliabridge.warmup;

import java.util.Objects;

/**
 * How the tolerated requests of a service are shared between the runner and the requests of callers.
 *
 * @param runsItems whether items of batches run at the service
 * @param servesCallers whether requests of callers are forwarded to the service
 */
public record ServiceWarmUp(WarmUpLimits limits, boolean runsItems, boolean servesCallers) {
    // The runner also calls services for scores, which nobody waits for as a caller does.
    private static final int SCORE_DIVISOR = 4;

    public ServiceWarmUp {
        Objects.requireNonNull(limits);
    }

    /** Returns the number of requests that all nodes together may send to a cold endpoint in any span. */
    int requests(Sender sender) {
        int runner = runnerRequests();
        return sender == Sender.RUNNER ? runner : limits.requests() - runner;
    }

    private int runnerRequests() {
        int all = limits.requests();
        if (!servesCallers) {
            return all;
        }
        return runsItems ? (all + 1) / 2 : all / SCORE_DIVISOR;
    }
}

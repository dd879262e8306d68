package org.magnoliabridge.calls;

import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.ids.RequestId;

/**
 * What calls of every kind need.
 *
 * @param endpoints gives slots
 * @param retryBudget retries of this hop
 * @param requestIds a new request id for each hop
 * @param background runs cancels, so that they never delay the call
 */
public record CallDependencies(
        EndpointSource endpoints,
        RetryBudget retryBudget,
        CallLimits limits,
        MonotonicClock clock,
        Supplier<RequestId> requestIds,
        Executor background,
        CallMetrics metrics,
        Spans spans) {}

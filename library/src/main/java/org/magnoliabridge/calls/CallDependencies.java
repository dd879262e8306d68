package org.magnoliabridge.calls;

import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.ids.RequestId;

/**
 * Shared dependencies of {@link GenerationCaller}, {@link PlainCaller} and {@link StreamCaller}.
 *
 * @param endpoints assigns a slot at an endpoint to each attempt
 * @param retryBudget limits the retries of this hop
 * @param requestIds generates a request id for each attempt at an engine
 * @param background sends cancel requests, so that they do not delay the call
 * @param grace which requests are still sent while the node shuts down
 */
public record CallDependencies(
        EndpointSource endpoints,
        RetryBudget retryBudget,
        CallLimits limits,
        MonotonicClock clock,
        Supplier<RequestId> requestIds,
        Executor background,
        CallMetrics metrics,
        Spans spans,
        GracePeriod grace) {}

package org.magnoliabridge.edge;

import com.codahale.metrics.MetricRegistry;
import java.util.function.Supplier;
import org.magnoliabridge.bundle.ConfigSnapshot;
import org.magnoliabridge.calls.GenerationCaller;
import org.magnoliabridge.calls.PlainCaller;
import org.magnoliabridge.calls.Spans;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.ids.RequestId;
import org.magnoliabridge.memory.NodeMemory;

/**
 * The dependencies of the caller-facing server.
 *
 * @param config the current snapshot; read for each request
 * @param memory grants the bytes that callers can make the node hold
 * @param ids generates a request id for each request without a usable one
 */
public record EdgeDependencies(
        Supplier<ConfigSnapshot> config,
        GenerationCaller generations,
        PlainCaller plain,
        IdempotentCalls idempotent,
        RolloutService rollouts,
        AddressSource addresses,
        UsageSink usage,
        NodeMemory memory,
        Supplier<RequestId> ids,
        MonotonicClock clock,
        MetricRegistry metrics,
        Spans spans) {}

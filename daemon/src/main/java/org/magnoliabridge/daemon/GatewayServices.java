package org.magnoliabridge.daemon;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.magnoliabridge.calls.PlainCaller;
import org.magnoliabridge.calls.StreamCaller;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.edge.ActiveCalls;
import org.magnoliabridge.edge.DrainGate;
import org.magnoliabridge.gateway.CurrentPolicy;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.RequestId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.memory.NodeMemory;

/**
 * Services of a node for the request handlers of a platform adapter.
 *
 * @param policy the configuration in force
 * @param plain forwards requests whose answers are buffered whole
 * @param streams forwards requests whose answers are streams of events
 * @param batches accepts, reads and ends batches
 * @param usage counts requests that began to run, by team
 * @param gate counts open requests and begins the drain
 * @param calls the calls of open requests, which are cancelled at the end of the drain
 * @param ready whether the node accepts new work
 * @param addresses the nodes that callers in a data centre should use
 * @param addressTtlMs how long callers may cache these addresses, in milliseconds
 * @param ids creates ids for requests that have none
 * @param memory grants the bytes that callers can make the node hold
 */
public record GatewayServices(
        CurrentPolicy policy,
        PlainCaller plain,
        StreamCaller streams,
        BatchService batches,
        UsageCounter usage,
        DrainGate gate,
        ActiveCalls calls,
        BooleanSupplier ready,
        AddressSource addresses,
        long addressTtlMs,
        Supplier<RequestId> ids,
        MonotonicClock clock,
        MetricRegistry metrics,
        NodeMemory memory) {
    /** Counts requests for usage reports; called from any thread. */
    @FunctionalInterface
    public interface UsageCounter {
        /** Counts one request of a team. */
        void began(TeamId team);
    }

    /** Chooses the nodes that callers should use. */
    @FunctionalInterface
    public interface AddressSource {
        /** Returns the addresses at which nodes that accept work serve callers, near nodes first. */
        List<String> addresses(String callerIp, Optional<DataCentre> near);
    }
}

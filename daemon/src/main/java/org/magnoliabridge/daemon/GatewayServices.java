package org.magnoliabridge.daemon;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.magnoliabridge.calls.PlainCaller;
import org.magnoliabridge.calls.StreamCaller;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.edge.DrainGate;
import org.magnoliabridge.gateway.CurrentPolicy;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.RequestId;
import org.magnoliabridge.ids.TeamId;

/**
 * What a node offers to the handlers of an adapter.
 *
 * @param policy the configuration in force
 * @param plain forwards requests whose answers come whole
 * @param streams forwards requests whose answers are streams of events
 * @param batches takes and reads batches
 * @param usage counts a request of a team that began to run
 * @param gate counts open requests and begins the drain
 * @param ready whether the node takes new work
 * @param addresses the nodes that callers in a data centre should use
 * @param addressTtlMs how long callers may keep such an answer
 * @param ids a new id for a request without one
 */
public record GatewayServices(
        CurrentPolicy policy,
        PlainCaller plain,
        StreamCaller streams,
        BatchService batches,
        UsageCounter usage,
        DrainGate gate,
        BooleanSupplier ready,
        AddressSource addresses,
        long addressTtlMs,
        Supplier<RequestId> ids,
        MonotonicClock clock,
        MetricRegistry metrics) {
    /** Counts requests for usage reports; called from any thread. */
    @FunctionalInterface
    public interface UsageCounter {
        /** Counts one request of a team. */
        void began(TeamId team);
    }

    /** Chooses the nodes that callers should use. */
    @FunctionalInterface
    public interface AddressSource {
        /** Returns caller addresses of nodes that take work, near ones first. */
        List<String> addresses(String callerIp, Optional<DataCentre> near);
    }
}

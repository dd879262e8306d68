package org.magnoliabridge.daemon;

import com.codahale.metrics.MetricRegistry;
import java.util.Random;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.magnoliabridge.calls.Spans;
import org.magnoliabridge.core.ControlLoop;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.external.Backoff;
import org.magnoliabridge.external.BudgetedStore;
import org.magnoliabridge.external.StoreRouteSelector;
import org.magnoliabridge.external.StoreRunner;
import org.magnoliabridge.ids.ProcessName;
import org.magnoliabridge.memory.NodeMemory;

/**
 * Dependencies that all parts of a gateway node share.
 *
 * @param wallClock milliseconds since the epoch, for times that are stored or sent to other processes
 * @param random used on the control thread only
 * @param memory grants the bytes that callers and endpoints can make the node hold
 * @param objects the platform's object store; calls go through another node while it does not serve this one
 * @param path whether this node reaches the store directly
 * @param budget the object store, within this node's limits on open calls and their time
 * @param store executes the store requests of decision cores
 * @param joined the node's incarnation, the cluster secret and the peers, as read from the registry at the start
 */
record GatewayContext(
        GatewaySettings settings,
        GatewayPlatform platform,
        MonotonicClock clock,
        LongSupplier wallClock,
        RandomGenerator random,
        MetricRegistry metrics,
        NodeMemory memory,
        Spans spans,
        ControlLoop loop,
        RelayedStore objects,
        StoreRouteSelector path,
        BudgetedStore budget,
        StoreRunner store,
        NodeRegistry.Joined joined) {
    private static final long FIRST_BACKOFF_MS = 100;
    private static final long MAX_BACKOFF_MS = 500;

    /** Returns the name of this process, unique among the processes of all nodes. */
    ProcessName process() {
        return new ProcessName(settings.nodeId(), joined.incarnation());
    }

    /** Returns a back-off for calls to the platform. */
    static Backoff newBackoff(RandomGenerator random) {
        return new Backoff(FIRST_BACKOFF_MS, MAX_BACKOFF_MS, random);
    }

    /** Returns a back-off for calls to the platform, for use on one thread. */
    Backoff newBackoff() {
        return newBackoff(new Random(random.nextLong()));
    }
}

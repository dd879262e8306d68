package org.magnoliabridge.daemon;

import com.codahale.metrics.MetricRegistry;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.magnoliabridge.core.ControlLoop;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.external.BudgetedStore;
import org.magnoliabridge.external.StoreRunner;
import org.magnoliabridge.http.HttpCaller;
import org.magnoliabridge.ids.Incarnation;

/**
 * The objects that all components of a node share.
 *
 * @param incarnation differs from that of every earlier process of this node
 * @param wallClock milliseconds since the epoch, for data that outlives the process
 * @param random used on the control thread only
 */
record NodeContext(
        NodeSettings settings,
        Incarnation incarnation,
        MonotonicClock clock,
        LongSupplier wallClock,
        RandomGenerator random,
        MetricRegistry metrics,
        ControlLoop loop,
        HttpCaller http,
        BudgetedStore budget,
        StoreRunner store) {}

package org.magnoliabridge.daemon;

import com.codahale.metrics.MetricRegistry;
import org.magnoliabridge.core.SuspensionDetector;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.lease.LeaseCore;
import org.magnoliabridge.lease.LeaseSettings;

/** The lease of the duties at a node that does not hold it; it makes no store calls. */
final class UnheldLease {
    private UnheldLease() {}

    static LeaseDriver of(NodeId node) {
        LeaseCore core = new LeaseCore(
                new ObjectKey("leases/duties"),
                node,
                new Incarnation(1),
                new LeaseSettings(4_000, 1_000, 1_000, 500, 150),
                0);
        return new LeaseDriver(
                "duties", core, null, () -> 0, new SuspensionDetector(() -> 0, () -> 0), null, new MetricRegistry());
    }
}

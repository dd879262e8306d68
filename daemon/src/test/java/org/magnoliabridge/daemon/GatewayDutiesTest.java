package org.magnoliabridge.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;

import org.junit.jupiter.api.Test;
import org.magnoliabridge.lease.LeaseSettings;

class GatewayDutiesTest {
    private static final long ORDER_LIMIT_MS = 350;

    /** Guards against a short lease under which the last order of a holder arrives after the first one of the next. */
    @Test
    void nextHolderWaitsForTheLastOrderUnderLeasesOfEveryLength() {
        for (long leaseMs = 500; leaseMs <= 60_000; leaseMs += 100) {
            LeaseSettings times = GatewayDuties.leaseSettings(leaseMs, ORDER_LIMIT_MS);
            long lastArrivalMs = leaseMs - times.marginMs() + ORDER_LIMIT_MS;
            long firstArrivalMs = leaseMs + times.takeoverWaitMs();
            assertThat("lease of " + leaseMs + " ms", firstArrivalMs, greaterThan(lastArrivalMs));
        }
    }
}

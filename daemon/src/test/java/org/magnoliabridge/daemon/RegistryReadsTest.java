package org.magnoliabridge.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;

class RegistryReadsTest {
    private static final long HOUR_MS = 3_600_000;

    /** Guards against nodes that start together and do not find each other within two periods. */
    @Test
    void firstReadsFollowTheStart() {
        RegistryReads reads = new RegistryReads(0);
        assertThat(reads.isDue(RegistryReads.PERIOD_MS - 1, 300), is(false));
        assertThat(reads.isDue(RegistryReads.PERIOD_MS, 300), is(true));
        reads.read(RegistryReads.PERIOD_MS);
        assertThat(reads.isDue(2 * RegistryReads.PERIOD_MS, 300), is(true));
    }

    /** Guards against reads whose rate grows with the nodes: beside the early reads, 300 nodes read as often as 8. */
    @Test
    void rateOfAllNodesIsBounded() {
        int early = 300 * RegistryReads.EARLY_READS;
        assertThat(300 * readsPerHour(300), is(lessThanOrEqualTo(8 * readsPerHour(8) + early)));
    }

    private static int readsPerHour(int nodes) {
        RegistryReads reads = new RegistryReads(0);
        int count = 0;
        for (long nowMs = 0; nowMs <= HOUR_MS; nowMs += 100) {
            if (reads.isDue(nowMs, nodes)) {
                reads.read(nowMs);
                count++;
            }
        }
        return count;
    }
}

package org.magnoliabridge.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class StoreAccessTest {
    private final StoreAccess access = new StoreAccess(0);

    /** Guards against a report to all nodes for each call that fails. */
    @Test
    void shortLossIsNotReported() {
        for (long now = 100; now <= 20_000; now += 100) {
            boolean unavailable = now % 1_000 >= 600;
            assertThat(access.update(unavailable, now), is(true));
        }
    }

    /** Guards against a loss that is never reported, and against a report that is withdrawn for one served call. */
    @Test
    void lastingChangesAreReported() {
        for (long now = 100; now < 600; now += 100) {
            assertThat(access.update(now > 100, now), is(true));
        }
        assertThat(access.update(true, 600), is(false));
        assertThat(access.update(false, 700), is(false));
        assertThat(access.update(true, 1_600), is(false));
        assertThat(access.update(false, 1_700), is(false));
        assertThat(access.update(false, 2_500), is(false));
        assertThat(access.update(false, 2_600), is(true));
    }
}

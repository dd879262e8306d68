package org.magnoliabridge.external;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;

class StoreRouteSelectorTest {
    private final StoreRouteSelector selector = new StoreRouteSelector();

    /** Guards against a node that loses time on a failing direct call each time while the store refuses it. */
    @Test
    void callsAreRelayedWhileTheStoreIsUnavailable() {
        assertThat(selector.choose(0), is(StoreRouteSelector.Route.DIRECT));
        assertThat(selector.storeFailed(0), is(true));
        assertThat(selector.isStoreUnavailable(), is(true));
        long direct = 0;
        for (long nowMs = 0; nowMs < 20_000; nowMs += 10) {
            if (selector.choose(nowMs) == StoreRouteSelector.Route.DIRECT) {
                direct++;
                assertThat("no change to report", selector.storeFailed(nowMs), is(false));
            }
        }
        assertThat(direct, lessThanOrEqualTo(20_000 / 2_000 + 4L));
    }

    /** Guards against a node that keeps relaying after the store serves it again. */
    @Test
    void oneServedCallRestoresTheDirectRoute() {
        selector.storeFailed(0);
        assertThat(selector.choose(200), is(StoreRouteSelector.Route.RELAYED));
        assertThat(selector.choose(300), is(StoreRouteSelector.Route.DIRECT));
        assertThat(selector.choose(300), is(StoreRouteSelector.Route.RELAYED));
        assertThat(selector.storeServed(), is(true));
        assertThat(selector.storeServed(), is(false));
        assertThat(selector.choose(301), is(StoreRouteSelector.Route.DIRECT));
    }
}

package org.magnoliabridge.external;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;

class StoreRouteSelectorTest {
    private final StoreRouteSelector path = new StoreRouteSelector();

    /** Guards against a node that loses the time of every call while the store turns it away. */
    @Test
    void callsGoToOthersWhileTheStoreTurnsThisNodeAway() {
        assertThat(path.choose(0), is(StoreRouteSelector.Route.DIRECT));
        assertThat(path.storeFailed(0), is(true));
        assertThat(path.isStoreUnavailable(), is(true));
        long direct = 0;
        for (long nowMs = 0; nowMs < 20_000; nowMs += 10) {
            if (path.choose(nowMs) == StoreRouteSelector.Route.DIRECT) {
                direct++;
                assertThat("no change to report", path.storeFailed(nowMs), is(false));
            }
        }
        assertThat(direct, lessThanOrEqualTo(20_000 / 2_000 + 4L));
    }

    /** Guards against a node that stays with the others for good after the store serves it again. */
    @Test
    void oneServedCallBringsAllBack() {
        path.storeFailed(0);
        assertThat(path.choose(200), is(StoreRouteSelector.Route.RELAYED));
        assertThat(path.choose(300), is(StoreRouteSelector.Route.DIRECT));
        assertThat(path.choose(300), is(StoreRouteSelector.Route.RELAYED));
        assertThat(path.storeServed(), is(true));
        assertThat(path.storeServed(), is(false));
        assertThat(path.choose(301), is(StoreRouteSelector.Route.DIRECT));
    }
}

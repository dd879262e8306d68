package org.magnoliabridge.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.fleet.FleetInput.Entry;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.routing.Endpoint;

class FleetCoreTest {
    private static final long OUTAGE_MS = 5_000;

    private final FleetCore core = new FleetCore();

    /** Guards against requests to an endpoint that was unlisted while the store is available. */
    @Test
    void removalTakesEffectImmediately() {
        core.on(0, new FleetInput.Listed(1, List.of(present("a"), present("b"))));
        core.on(1_000, new FleetInput.Changed(2, List.of(unlisted("a"))));
        assertThat(ids(), contains("b"));
    }

    /** Guards against treating a poll without changes as an outage, which delays a removal by two seconds. */
    @Test
    void removalAfterAPollWithoutChangesTakesEffectImmediately() {
        core.on(0, new FleetInput.Listed(1, List.of(present("a"))));
        core.on(3_000, new FleetInput.Changed(1, List.of()));
        assertThat(core.on(6_000, new FleetInput.Changed(2, List.of(unlisted("a")))), is(true));
        assertThat(ids(), is(empty()));
    }

    /** Guards against a fleet that is unusable after an outage because its entries expired during the outage. */
    @Test
    void entriesThatExpiredInAnOutageStayForTheGracePeriod() {
        core.on(0, new FleetInput.Listed(1, List.of(present("a"), present("b"))));
        core.on(100, new FleetInput.StoreUnreachable());
        core.on(OUTAGE_MS, new FleetInput.Listed(9, List.of()));
        assertThat(ids(), contains("a", "b"));
        core.on(OUTAGE_MS + 500, new FleetInput.Changed(10, List.of(present("a"))));
        core.on(OUTAGE_MS + FleetCore.RECOVERY_GRACE_MS - 1, new FleetInput.Tick());
        assertThat(ids(), contains("a", "b"));
        core.on(OUTAGE_MS + FleetCore.RECOVERY_GRACE_MS, new FleetInput.Tick());
        assertThat(ids(), contains("a"));
    }

    /** Guards against a grace period for an endpoint that was already draining before the outage. */
    @Test
    void drainingEndpointGetsNoGracePeriod() {
        core.on(0, new FleetInput.Listed(1, List.of(draining("a"))));
        core.on(OUTAGE_MS, new FleetInput.Listed(9, List.of()));
        assertThat(ids(), is(empty()));
    }

    /** Guards against false change reports, because listeners act on each change. */
    @Test
    void identicalEntryIsNoChange() {
        assertThat(core.on(0, new FleetInput.Listed(1, List.of(present("a")))), is(true));
        assertThat(core.on(100, new FleetInput.Changed(2, List.of(present("a")))), is(false));
        assertThat(core.on(200, new FleetInput.Changed(3, List.of(draining("a")))), is(true));
        assertThat(core.ageMs(300), is(100L));
    }

    /** Guards against an endpoint that stays in use although its entry cannot be read. */
    @Test
    void unreadableEntryRemovesTheEndpoint() {
        core.on(0, new FleetInput.Listed(1, List.of(present("a"), unlisted("b"))));
        core.on(100, new FleetInput.Changed(2, Arrays.asList(unlisted("a"))));
        assertThat(ids(), is(empty()));
    }

    private List<String> ids() {
        return core.endpoints().stream().map(e -> e.endpoint().id().value()).toList();
    }

    private static Entry present(String id) {
        return new Entry(new EndpointId(id), Optional.of(endpoint(id, false)));
    }

    private static Entry draining(String id) {
        return new Entry(new EndpointId(id), Optional.of(endpoint(id, true)));
    }

    private static Entry unlisted(String id) {
        return new Entry(new EndpointId(id), Optional.empty());
    }

    private static FleetEndpoint endpoint(String id, boolean draining) {
        Endpoint endpoint =
                new Endpoint(new EndpointId(id), new ServiceId("s"), new DataCentre("trent"), "10.0.0.1:80");
        return new FleetEndpoint(endpoint, 6, draining, Map.of(), 0, false, OptionalLong.empty());
    }
}

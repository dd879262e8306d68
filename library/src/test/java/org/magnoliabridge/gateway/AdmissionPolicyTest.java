package org.magnoliabridge.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.calls.Failure;
import org.magnoliabridge.gateway.TeamKeys.TeamAccess;
import org.magnoliabridge.ids.RouteId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.TeamId;

class AdmissionPolicyTest {
    private static final TeamId OAK = new TeamId("oak");

    private final AdmissionPolicy policy = new AdmissionPolicy(config(
            7,
            List.of(
                    route("all", "/", 3, false),
                    route("bookings", "/bookings/", 2, false),
                    route("open", "/open/", 2, true))));

    /** Guards against the wrong route if one path prefix is a prefix of another. */
    @Test
    void longestPrefixOfTheHostWins() {
        assertThat(allowed("/bookings/17", "k1").route().id(), is(new RouteId("bookings")));
        assertThat(allowed("/bookings", "k1").route().id(), is(new RouteId("all")));
        assertThat(
                policy.admit("Desk.Example:8080", "/bookings/17", Optional.of("k1")),
                instanceOf(Admission.Allowed.class));
        assertThat(refusal("other.example", "/bookings/17", "k1"), instanceOf(Failure.NotFound.class));
    }

    /** Guards against admitting a request without a valid key, and against attributing it to the wrong team. */
    @Test
    void keyDecidesTheTeam() {
        assertThat(allowed("/bookings/17", "k1").team(), is(Optional.of(OAK)));
        assertThat(refusal("desk.example", "/bookings/17", "k3"), instanceOf(Failure.Unauthenticated.class));
        assertThat(
                ((Admission.Refused) policy.admit("desk.example", "/bookings/17", Optional.empty())).failure(),
                instanceOf(Failure.Unauthenticated.class));
    }

    /** Guards against an open route that requires a key, or that ignores the team of a key. */
    @Test
    void openRouteNeedsNoKeyAndStillIdentifiesTheTeam() {
        Admission.Allowed anonymous = (Admission.Allowed) policy.admit("desk.example", "/open/x", Optional.empty());
        assertThat(anonymous.team(), is(Optional.empty()));
        assertThat(allowed("/open/x", "k1").team(), is(Optional.of(OAK)));
    }

    /** Guards against using the route's priority although the team has its own. */
    @Test
    void teamPriorityTakesPrecedenceOverRoutePriority() {
        assertThat(allowed("/bookings/17", "k1").priority(), is(2));
        assertThat(allowed("/bookings/17", "k2").priority(), is(0));
    }

    /** Guards against an older configuration that arrives after a newer one. */
    @Test
    void olderConfigurationNeverReplacesANewerOne() {
        CurrentPolicy current = new CurrentPolicy();
        assertThat(current.get(), is(Optional.empty()));
        assertThat(current.accept(config(7, List.of(route("a", "/", 0, false)))), is(true));
        assertThat(current.accept(config(7, List.of(route("b", "/", 0, false)))), is(false));
        assertThat(current.accept(config(6, List.of(route("b", "/", 0, false)))), is(false));
        assertThat(current.get().orElseThrow().config().routes().getFirst().id(), is(new RouteId("a")));
        assertThat(current.accept(config(9, List.of(route("b", "/", 0, false)))), is(true));
    }

    private Admission.Allowed allowed(String path, String key) {
        return (Admission.Allowed) policy.admit("desk.example", path, Optional.of(key));
    }

    private Failure refusal(String host, String path, String key) {
        return ((Admission.Refused) policy.admit(host, path, Optional.of(key))).failure();
    }

    private static GatewayConfig config(long version, List<GatewayRoute> routes) {
        TeamKeys keys = new TeamKeys()
                .add("k1", new TeamAccess(OAK, OptionalInt.empty()))
                .add("k2", new TeamAccess(new TeamId("elm"), OptionalInt.of(0)));
        return new GatewayConfig(version, routes, Map.of(), CallerLimits.DEFAULT, Optional.of(keys));
    }

    private static GatewayRoute route(String id, String prefix, int priority, boolean open) {
        return new GatewayRoute(
                new RouteId(id),
                "desk.example",
                prefix,
                RouteKind.IDEMPOTENT,
                1_500,
                186,
                priority,
                List.of(new WeightedService(new ServiceId("benchdesk"), 1)),
                2,
                open,
                false,
                Optional.empty());
    }
}

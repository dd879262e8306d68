package org.magnoliabridge.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.gateway.BatchTerms;
import org.magnoliabridge.gateway.CallerLimits;
import org.magnoliabridge.gateway.GatewayConfig;
import org.magnoliabridge.gateway.GatewayRoute;
import org.magnoliabridge.gateway.GatewayService;
import org.magnoliabridge.gateway.RouteKind;
import org.magnoliabridge.gateway.WeightedService;
import org.magnoliabridge.ids.RouteId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.warmup.ServiceWarmUp;
import org.magnoliabridge.warmup.WarmUpLimits;

class WarmUpDriverTest {
    private static final ServiceId ENGINES = new ServiceId("coachgen");
    private static final ServiceId DESK = new ServiceId("benchdesk");
    private static final ServiceId SHARED = new ServiceId("shared");
    private static final ServiceId UNLIMITED = new ServiceId("unlimited");
    private static final WarmUpLimits LIMITS = new WarmUpLimits(3_000, 8.1);

    /** Guards against a runner or callers without a share of a service that they use, and against limits nobody set. */
    @Test
    void sharesFollowTheRoutes() {
        GatewayConfig config = new GatewayConfig(
                7,
                List.of(
                        route("r1", RouteKind.BATCH, ENGINES),
                        route("r2", RouteKind.BATCH, SHARED),
                        route("r3", RouteKind.IDEMPOTENT, DESK, SHARED),
                        route("r4", RouteKind.STREAM, UNLIMITED)),
                Map.of(
                        ENGINES, service(ENGINES, Optional.of(LIMITS)),
                        DESK, service(DESK, Optional.of(LIMITS)),
                        SHARED, service(SHARED, Optional.of(LIMITS)),
                        UNLIMITED, service(UNLIMITED, Optional.empty())),
                CallerLimits.DEFAULT,
                Optional.empty());
        assertThat(
                WarmUpDriver.services(config),
                is(Map.of(
                        ENGINES, new ServiceWarmUp(LIMITS, true, false),
                        DESK, new ServiceWarmUp(LIMITS, false, true),
                        SHARED, new ServiceWarmUp(LIMITS, true, true))));
    }

    private static GatewayService service(ServiceId id, Optional<WarmUpLimits> warmUp) {
        return new GatewayService(id, "/", 100, Optional.empty(), warmUp, Optional.empty());
    }

    private static GatewayRoute route(String id, RouteKind kind, ServiceId... services) {
        boolean batch = kind == RouteKind.BATCH;
        return new GatewayRoute(
                new RouteId(id),
                "desk.example",
                "/" + id + "/",
                kind,
                1_000,
                200,
                1,
                Arrays.stream(services).map(s -> new WeightedService(s, 1)).toList(),
                2,
                false,
                false,
                batch ? Optional.of(new BatchTerms(7_500, 40_000, false)) : Optional.empty());
    }
}

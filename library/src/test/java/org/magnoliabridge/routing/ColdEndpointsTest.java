package org.magnoliabridge.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.calls.EndpointSource.Observation;
import org.magnoliabridge.calls.EndpointSource.Priority;
import org.magnoliabridge.calls.Failure;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.warmup.WarmUpPacer;
import org.magnoliabridge.warmup.WarmUps;

/** Requests of callers while endpoints are cold; 6 of the 8 requests that they tolerate in a second are callers'. */
class ColdEndpointsTest {
    private static final long START_MS = 100_000;
    private static final int CALLERS_SHARE = 6;
    private static final Map<TeamId, TeamPolicy> TEAMS = Map.of(new TeamId("oak"), new TeamPolicy(1, 1e12));

    private final WarmUpPacer pacer = WarmUps.ofOnlyNode(START_MS, WarmUps.limits(RoutingFixture.SERVICE, false, true));

    private RoutingFixture fixture(int endpoints, int cold) {
        RoutingFixture fixture = new RoutingFixture(endpoints, 100, 1_000, TEAMS, pacer);
        fixture.nowMs = START_MS;
        pacer.replaceEndpoints(
                START_MS - 20_000,
                IntStream.range(0, endpoints)
                        .mapToObj(i -> WarmUps.listed("e" + i, RoutingFixture.SERVICE, 1, 0))
                        .toList());
        pacer.replaceEndpoints(
                START_MS,
                IntStream.range(0, endpoints)
                        .mapToObj(i -> WarmUps.listed("e" + i, RoutingFixture.SERVICE, i < cold ? 2 : 1, 0))
                        .toList());
        return fixture;
    }

    private static long arrive(RoutingFixture fixture, long deadlineMs) {
        return fixture.arrive(RoutingFixture.slotRequest("oak", Priority.INTERACTIVE, 1, deadlineMs, Set.of()));
    }

    /** Guards against a slow endpoint that gets requests while others have room. */
    @Test
    void warmEndpointsArePreferred() {
        RoutingFixture fixture = fixture(3, 2);
        for (int i = 0; i < 50; i++) {
            arrive(fixture, START_MS + 60_000);
        }
        Set<EndpointId> used = Set.copyOf(dispatchedTo(fixture));
        assertThat(used, is(Set.of(new EndpointId("e2"))));
    }

    /** Guards against a burst at a cold endpoint, and against requests that are refused though they can wait. */
    @Test
    void requestsWaitInTheQueueWhileAllEndpointsAreCold() {
        RoutingFixture fixture = fixture(1, 1);
        for (int i = 0; i < 40; i++) {
            arrive(fixture, START_MS + 20_000);
        }
        List<Integer> perSecond = new ArrayList<>();
        for (int second = 0; second < 3; second++) {
            int before = fixture.dispatched().size();
            for (int tick = 0; tick < 10; tick++) {
                fixture.apply(new AdmissionInput.Tick());
                fixture.nowMs += 100;
            }
            perSecond.add(fixture.dispatched().size() - (second == 0 ? 0 : before));
        }
        for (int count : perSecond) {
            assertThat(count, allOf(greaterThan(CALLERS_SHARE - 2), lessThanOrEqualTo(CALLERS_SHARE)));
        }
        fixture.apply(new AdmissionInput.Tick());
        assertThat("all are sent once the endpoint is warm", fixture.dispatched(), hasSize(40));
        assertThat(fixture.refused(), empty());
    }

    /** Guards against requests that wait in vain, and against a time after which they would be refused again. */
    @Test
    void requestsThatCannotBeSentInTimeAreRefusedAtOnce() {
        RoutingFixture fixture = fixture(1, 1);
        for (int i = 0; i < 30; i++) {
            arrive(fixture, START_MS + 900);
        }
        int sentOrWaiting = 30 - fixture.refused().size();
        assertThat(sentOrWaiting, is(CALLERS_SHARE));
        Failure failure = fixture.refused().getFirst().failure();
        assertThat(failure, is(new Failure.Overloaded(WarmUps.DURATION_MS)));
    }

    /** Guards against an attempt at another endpoint that is not counted. */
    @Test
    void repeatedRequestsCount() {
        RoutingFixture fixture = fixture(1, 1);
        for (int i = 0; i < 20; i++) {
            long id = arrive(fixture, START_MS + 60_000);
            fixture.apply(new AdmissionInput.Finished(id, 1));
            fixture.apply(new AdmissionInput.Cancel(id, new Failure.CallerGone()));
        }
        assertThat(fixture.dispatched().size(), lessThanOrEqualTo(CALLERS_SHARE));
    }

    /** Guards against a node of many that sends as if it were alone, and against one that never sends. */
    @Test
    void oneNodeOfManySendsOneRequestInSeveralSeconds() {
        RoutingFixture fixture = fixture(1, 0);
        pacer.replaceEndpoints(START_MS, List.of(WarmUps.listed("e0", RoutingFixture.SERVICE, 1, 600_000)));
        List<NodeId> nodes = IntStream.range(0, 60).mapToObj(WarmUps::node).toList();
        for (int i = 0; i < 200; i++) {
            arrive(fixture, START_MS + 700_000);
        }
        int before = fixture.dispatched().size();
        for (long t = 0; t < 100_000; t += 100) {
            pacer.setMembers(fixture.nowMs, nodes, true);
            pacer.setWallClock(fixture.nowMs, fixture.nowMs + 1_700_000_000_000L);
            fixture.apply(new AdmissionInput.Tick());
            fixture.nowMs += 100;
        }
        // 50 turns, of which it has one in ten.
        assertThat(fixture.dispatched().size() - before, allOf(greaterThan(1), lessThanOrEqualTo(12)));
    }

    /** Guards against all slots of an endpoint that was down and has restarted before its entry says so. */
    @Test
    void endpointThatWasUnreachableIsUsedInSteps() {
        RoutingFixture fixture = fixture(1, 0);
        long id = arrive(fixture, START_MS + 60_000);
        observe(fixture, Observation.UNREACHABLE);
        fixture.apply(new AdmissionInput.Finished(id, 1));
        fixture.nowMs += EndpointTable.FIRST_BACK_OFF_MS;
        fixture.apply(new AdmissionInput.Tick());
        arrive(fixture, START_MS + 60_000);
        observe(fixture, Observation.ANSWERED);
        int before = fixture.dispatched().size();
        for (int i = 0; i < 20; i++) {
            arrive(fixture, START_MS + 60_000);
        }
        assertThat(fixture.dispatched().size() - before, lessThanOrEqualTo(CALLERS_SHARE));
        fixture.nowMs += WarmUps.DURATION_MS;
        fixture.apply(new AdmissionInput.Tick());
        assertThat(fixture.dispatched().size() - before, is(20));
    }

    // Of the endpoint that the last request was dispatched to.
    private static void observe(RoutingFixture fixture, Observation observation) {
        EndpointId endpoint = dispatchedTo(fixture).getLast();
        String address = RoutingFixture.endpoint(endpoint.value(), 1).address();
        fixture.apply(new AdmissionInput.Endpoints(new EndpointInput.Observed(endpoint, address, observation)));
    }

    private static List<EndpointId> dispatchedTo(RoutingFixture fixture) {
        return fixture.effects.stream()
                .filter(AdmissionEffect.Dispatch.class::isInstance)
                .map(e -> ((AdmissionEffect.Dispatch) e).endpoint().id())
                .toList();
    }
}

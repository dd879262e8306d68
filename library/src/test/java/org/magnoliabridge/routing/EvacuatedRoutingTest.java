package org.magnoliabridge.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.calls.EndpointSource.Observation;
import org.magnoliabridge.calls.EndpointSource.Priority;
import org.magnoliabridge.calls.Failure;
import org.magnoliabridge.evacuation.Evacuations;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.EndpointId;

/** Replays the load of an evacuation: the data centre of some of a service's endpoints is emptied under load. */
class EvacuatedRoutingTest {
    private static final DataCentre TRENT = RoutingFixture.OWN;
    private static final DataCentre SOAR = new DataCentre("soar");
    private static final int SLOTS = 2;
    private static final long STEP_MS = 5;
    private static final long WORK_MS = 35;

    private final RoutingFixture fixture = new RoutingFixture(0, SLOTS, 200, Map.of());
    private final Deque<Long> running = new ArrayDeque<>();
    private int handled;

    EvacuatedRoutingTest() {
        list(entry("t0", TRENT, 1), entry("t1", TRENT, 2), entry("s0", SOAR, 3));
    }

    /** Guards against a request that still goes to the evacuated data centre, and against endpoints that stay away. */
    @Test
    void evacuatedDataCentreGetsNothingUnderLoadAndReturns() {
        assertThat(serve(400), is(not(Set.of(new EndpointId("s0")))));
        evacuate(TRENT);
        assertThat(serve(2_000), is(Set.of(new EndpointId("s0"))));
        assertThat("requests in progress were left alone", fixture.refused(), is(empty()));
        evacuate();
        assertThat(serve(2_000).contains(new EndpointId("t0")), is(true));
    }

    /** Guards against an evacuation of one data centre that ends, or hides, that of another. */
    @Test
    void secondEvacuationAddsToTheFirst() {
        list(entry("t0", TRENT, 1), entry("s0", SOAR, 3), entry("a0", new DataCentre("avon"), 4));
        evacuate(TRENT, SOAR);
        assertThat(serve(500), is(Set.of(new EndpointId("a0"))));
        evacuate(SOAR);
        Set<EndpointId> used = serve(2_000);
        assertThat(used.contains(new EndpointId("t0")), is(true));
        assertThat(used.contains(new EndpointId("s0")), is(false));
    }

    /** Guards against requests that wait for endpoints of the evacuated data centre while others become free. */
    @Test
    void waitingRequestsGoElsewhere() {
        for (int i = 0; i < 12; i++) {
            fixture.arrive("a", Priority.TRAINING, 10);
        }
        assertThat(fixture.dispatched(), hasSize(6));
        evacuate(TRENT);
        int before = fixture.effects.size();
        for (int i = 0; i < 100; i++) {
            fixture.nowMs += STEP_MS;
            finishOldest();
        }
        assertThat(fixture.dispatched(), hasSize(12));
        assertThat(usedSince(before), is(Set.of(new EndpointId("s0"))));
        assertThat(fixture.refused(), is(empty()));
    }

    /** Guards against callers that wait until their deadline while no endpoint of the service may be used. */
    @Test
    void allDataCentresEvacuatedRefusesAtOnceAsNotRun() {
        for (int i = 0; i < 8; i++) {
            fixture.arrive("a", Priority.TRAINING, 10);
        }
        evacuate(TRENT, SOAR);
        assertThat("those that waited", fixture.refused(), hasSize(2));
        fixture.arrive("a", Priority.INTERACTIVE, 10);
        assertThat(fixture.refused(), hasSize(3));
        for (AdmissionEffect.Refuse refuse : fixture.refused()) {
            assertThat(
                    ((Failure.Overloaded) refuse.failure()).retryAfterMs(), is(AdmissionCore.EVACUATED_RETRY_AFTER_MS));
        }
        assertThat("requests in progress hold their slots", fixture.core.inFlight(), is(6));
        evacuate(TRENT);
        fixture.arrive("a", Priority.INTERACTIVE, 10);
        assertThat(fixture.refused(), hasSize(3));
    }

    /** Guards against a refusal while an endpoint elsewhere only backs off, or has left for good. */
    @Test
    void failedEndpointElsewhereIsWaitedForAndALeavingOneIsNot() {
        evacuate(TRENT);
        observe("s0", Observation.UNREACHABLE);
        fixture.arrive("a", Priority.INTERACTIVE, 10);
        assertThat(fixture.refused(), is(empty()));
        observe("s0", Observation.DRAINING);
        assertThat(fixture.refused(), hasSize(1));
    }

    /** Guards against endpoints that are used before the evacuations are known. */
    @Test
    void nothingIsUsedBeforeTheEvacuationsAreKnown() {
        apply(new EndpointInput.Evacuated(Evacuations.UNKNOWN));
        fixture.arrive("a", Priority.INTERACTIVE, 10);
        assertThat(fixture.dispatched(), is(empty()));
        assertThat(fixture.refused(), is(empty()));
        evacuate();
        assertThat(fixture.dispatched(), hasSize(1));
    }

    /** Guards against an evacuation that is taken for a departure, which is for good. */
    @Test
    void evacuationIsNoDeparture() {
        evacuate(TRENT);
        list(entry("t0", TRENT, 1), entry("t1", TRENT, 2), entry("s0", SOAR, 3));
        assertThat(fixture.core.eligibleEndpoints(RoutingFixture.SERVICE), hasSize(1));
        evacuate();
        assertThat(fixture.core.eligibleEndpoints(RoutingFixture.SERVICE), hasSize(3));
        assertThat(fixture.core.endpointCounts().get(EndpointState.ROUTABLE), is(3));
    }

    /** Guards against slots that are lost or given twice when evacuations come and go in any order under load. */
    @Test
    void flappingEvacuationsLoseNoRequest() {
        Random random = new Random(7);
        int arrived = 0;
        for (int i = 0; i < 2_000; i++) {
            fixture.nowMs += STEP_MS;
            if (random.nextInt(20) == 0) {
                evacuate(random.nextBoolean() ? TRENT : SOAR);
            } else if (random.nextInt(20) == 0) {
                evacuate();
            } else if (random.nextInt(3) == 0) {
                fixture.arrive("a", Priority.INTERACTIVE, 10);
                arrived++;
            }
            finishOldest();
        }
        evacuate();
        while (!running.isEmpty()) {
            fixture.nowMs += STEP_MS;
            finishOldest();
        }
        assertThat(fixture.dispatched().size() + fixture.refused().size(), is(arrived));
        assertThat(arrived, is(greaterThan(400)));
        assertThat(fixture.core.inFlight(), is(0));
    }

    /** Sends a request every four steps for some time; returns the endpoints that got a request meanwhile. */
    private Set<EndpointId> serve(long durationMs) {
        int before = fixture.effects.size();
        for (long ms = 0; ms < durationMs; ms += STEP_MS) {
            fixture.nowMs += STEP_MS;
            if (ms % (4 * STEP_MS) == 0) {
                fixture.arrive("a", Priority.INTERACTIVE, 10);
            }
            finishOldest();
        }
        return usedSince(before);
    }

    private Set<EndpointId> usedSince(int before) {
        Set<EndpointId> used = new HashSet<>();
        for (AdmissionEffect effect : fixture.effects.subList(before, fixture.effects.size())) {
            if (effect instanceof AdmissionEffect.Dispatch dispatch) {
                used.add(dispatch.endpoint().id());
            }
        }
        return used;
    }

    // Requests end in the order in which they began, one every 7 steps for each of the slots.
    private void finishOldest() {
        List<Long> dispatched = fixture.dispatched();
        for (; handled < dispatched.size(); handled++) {
            running.add(dispatched.get(handled));
        }
        boolean due = fixture.nowMs % (WORK_MS / SLOTS / STEP_MS * STEP_MS) == 0;
        if (due && !running.isEmpty()) {
            fixture.apply(new AdmissionInput.Finished(running.poll(), 10));
        }
    }

    private void evacuate(DataCentre... dcs) {
        apply(new EndpointInput.Evacuated(new Evacuations(true, Set.of(dcs))));
    }

    private void observe(String endpoint, Observation observation) {
        apply(new EndpointInput.Observed(new EndpointId(endpoint), "127.0.0.1:3", observation));
    }

    private void list(EndpointInput.ListedEndpoint... entries) {
        apply(new EndpointInput.Listed(new ArrayList<>(List.of(entries))));
    }

    private void apply(EndpointInput input) {
        fixture.apply(new AdmissionInput.Endpoints(input));
    }

    private static EndpointInput.ListedEndpoint entry(String id, DataCentre dc, int port) {
        Endpoint endpoint = new Endpoint(new EndpointId(id), RoutingFixture.SERVICE, dc, "127.0.0.1:" + port);
        return new EndpointInput.ListedEndpoint(endpoint, false, OptionalInt.of(SLOTS));
    }
}

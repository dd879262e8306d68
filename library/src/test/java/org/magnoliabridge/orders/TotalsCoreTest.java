package org.magnoliabridge.orders;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.external.EndpointOrder.Kind;
import org.magnoliabridge.external.EndpointTotals.Place;
import org.magnoliabridge.external.EndpointTotals.Total;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.FencingToken;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.lease.LeaseView;

class TotalsCoreTest {
    private static final ServiceId SERVICE = new ServiceId("coachgen");
    private static final List<DataCentre> DCS =
            List.of(new DataCentre("soar"), new DataCentre("trent"), new DataCentre("avon"));
    private static final long BOOT_MS = 4_000;
    private static final long TICK_MS = 100;
    private static final long BATCH_EVERY_MS = 4_000;
    private static final double UNITS_PER_ENDPOINT = 10;

    private final TotalsCore core = new TotalsCore();
    private final Map<Place, Integer> ordered = new HashMap<>();
    private final Map<Place, Long> orderedAtMs = new HashMap<>();
    private final Map<Place, Integer> serving = new HashMap<>();
    private final Set<Place> refusing = new HashSet<>();
    private final Set<DataCentre> evacuated = new HashSet<>();
    private final List<TotalsEffect.Send> sent = new ArrayList<>();
    private LeaseView lease = new LeaseView(true, new FencingToken(7), 0, Long.MAX_VALUE);
    private OrderOutcome outcome = OrderOutcome.ACCEPTED;
    private long nowMs;

    TotalsCoreTest() {
        DCS.forEach(dc -> serving.put(place(dc, Kind.STANDARD), 3));
        CapacityPlan capacity =
                new CapacityPlan(SERVICE, true, DCS, UNITS_PER_ENDPOINT, 1, BOOT_MS, 1, 0.2, DCS.size(), 18);
        core.on(0, lease, new TotalsInput.Plans(List.of(new TotalsPlan(capacity, 6))));
    }

    /** Guards against paying for a fleet of which regular batches need less than half. */
    @Test
    void shrinksToTwiceTheDemand() {
        simulate(60_000, 30);
        assertThat(total(), is(6));
        for (DataCentre dc : DCS) {
            assertThat(serving.get(place(dc, Kind.STANDARD)), is(2));
        }
    }

    /** Guards against starts and stops of endpoints, with their weight loads, while the fleet is large enough. */
    @Test
    void keepsAFleetOfOneToTwoTimesTheDemand() {
        simulate(30_000, 45);
        simulate(30_000, 90);
        assertThat(sent, is(empty()));
    }

    /** Guards against scaling down in the pause between two batches, or before the demand is known. */
    @Test
    void doesNotShrinkBeforeTheDemandWindowHasPassed() {
        simulate(14_000, 30);
        assertThat(sent, is(empty()));
    }

    /** Guards against a service that keeps fewer endpoints than its batches need. */
    @Test
    void growsToTheDemandAtOnce() {
        simulate(8_000, 120);
        assertThat(total(), is(12));
    }

    /** Guards against repeated orders in a full data centre while others have room. */
    @Test
    void growsElsewhereAfterARefusal() {
        refusing.add(place(DCS.get(0), Kind.STANDARD));
        simulate(8_000, 120);
        assertThat(total(), is(12));
        assertThat(serving.get(place(DCS.get(0), Kind.STANDARD)), is(3));
    }

    /** Guards against orders in an evacuated data centre, and against work that waits for endpoints there. */
    @Test
    void evacuatedDataCentreGetsNoOrdersAndTheOthersMakeUp() {
        simulate(20_000, 50);
        assertThat(sent, is(empty()));
        evacuated.add(DCS.get(1));
        simulate(20_000, 90);
        assertThat(sent, is(not(empty())));
        assertThat(sent.stream().map(s -> s.total().place().dc()).toList(), not(hasItem(DCS.get(1))));
        assertThat("endpoints that may be used", total() - serving.get(place(DCS.get(1), Kind.STANDARD)), is(9));
        evacuated.clear();
        simulate(60_000, 50);
        assertThat("the fleet is reduced again", total(), is(10));
    }

    /** Guards against an order for endpoints that have left an evacuated data centre, also after it has ended. */
    @Test
    void endpointLostInAnEvacuationIsReplacedOnlyAfterIt() {
        simulate(20_000, 50);
        Place place = place(DCS.get(1), Kind.STANDARD);
        evacuated.add(DCS.get(1));
        serving.put(place, 1);
        simulate(30_000, 50);
        assertThat(sent, is(empty()));
        evacuated.clear();
        simulate(BOOT_MS, 50);
        assertThat(sent, is(empty()));
        simulate(20_000, 50);
        assertThat(serving.get(place), is(3));
    }

    /** Guards against a core that fails or orders blindly when no data centre is left. */
    @Test
    void nothingIsOrderedWhileAllDataCentresAreEvacuated() {
        evacuated.addAll(DCS);
        simulate(30_000, 200);
        assertThat(sent, is(empty()));
    }

    /** Guards against a lost endpoint that is not replaced. */
    @Test
    void replacesALostEndpoint() {
        simulate(20_000, 50);
        Place lost = place(DCS.get(1), Kind.STANDARD);
        serving.put(lost, 1);
        simulate(12_000, 50);
        assertThat(sent.stream().anyMatch(s -> s.total().equals(new Total(lost, 3))), is(true));
        assertThat(total(), is(9));
    }

    /** Guards against an order for an endpoint that returns without one. */
    @Test
    void doesNotReplaceAnEndpointThatReturnsSoon() {
        simulate(20_000, 50);
        Place lost = place(DCS.get(1), Kind.STANDARD);
        serving.put(lost, 2);
        simulate(5_000, 50);
        serving.put(lost, 3);
        simulate(20_000, 50);
        assertThat(sent, is(empty()));
    }

    /** Guards against orders without the lease, and against decisions from an earlier lease term. */
    @Test
    void sendsUnderTheLeaseOnly() {
        lease = LeaseView.NOT_HELD;
        simulate(30_000, 200);
        assertThat(sent, is(empty()));
        lease = new LeaseView(true, new FencingToken(9), nowMs + 1_500, nowMs + 3_500);
        simulate(6_000, 200);
        assertThat(sent, is(not(empty())));
        for (TotalsEffect.Send send : sent) {
            assertThat(send.fencing(), is(new FencingToken(9)));
        }
    }

    /** Guards against an order that is lost, which looks the same as a lost answer. */
    @Test
    void repeatsAnOrderWithoutAnswer() {
        outcome = OrderOutcome.UNKNOWN;
        simulate(2_000, 200);
        long first = sent.stream()
                .filter(s -> s.total().place().equals(sent.getFirst().total().place()))
                .count();
        assertThat(first, greaterThanOrEqualTo(2L));
        assertThat("orders in two seconds", first, lessThan(6L));
    }

    /** Guards against more endpoints in a data centre than its limit allows. */
    @Test
    void keepsTheLimitsOfADataCentre() {
        simulate(30_000, 1_000);
        for (DataCentre dc : DCS) {
            assertThat(serving.get(place(dc, Kind.STANDARD)), is(6));
        }
    }

    // A batch arrives every BATCH_EVERY_MS and is finished within 1 s; orders take effect after BOOT_MS.
    private void simulate(long durationMs, double units) {
        long endMs = nowMs + durationMs;
        for (; nowMs < endMs; nowMs += TICK_MS) {
            ordered.forEach((place, n) -> {
                boolean booted = nowMs - orderedAtMs.get(place) >= BOOT_MS;
                if (booted || n < serving.getOrDefault(place, 0)) {
                    serving.put(place, n);
                }
            });
            ordered.keySet().removeIf(p -> ordered.get(p).equals(serving.get(p)));
            carryOut(core.on(nowMs, lease, new TotalsInput.Fleet(serving, List.of(), evacuated)));
            boolean busy = nowMs % BATCH_EVERY_MS < 1_000;
            carryOut(core.on(nowMs, lease, new TotalsInput.Demand(SERVICE, busy ? units : 0)));
            carryOut(core.on(nowMs, lease, new TotalsInput.Tick()));
        }
    }

    private void carryOut(List<TotalsEffect> effects) {
        for (TotalsEffect effect : effects) {
            TotalsEffect.Send send = (TotalsEffect.Send) effect;
            sent.add(send);
            boolean refused = refusing.contains(send.total().place());
            if (outcome == OrderOutcome.ACCEPTED && !refused) {
                ordered.put(send.total().place(), send.total().endpoints());
                orderedAtMs.put(send.total().place(), nowMs);
            }
            carryOut(core.on(
                    nowMs, lease, new TotalsInput.Sent(send.total(), refused ? OrderOutcome.REFUSED : outcome)));
        }
    }

    private int total() {
        return serving.values().stream().mapToInt(Integer::intValue).sum();
    }

    private static Place place(DataCentre dc, Kind kind) {
        return new Place(SERVICE, dc, kind);
    }
}

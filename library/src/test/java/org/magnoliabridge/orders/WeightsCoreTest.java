package org.magnoliabridge.orders;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import org.junit.jupiter.api.Test;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.FencingToken;
import org.magnoliabridge.ids.ModelId;
import org.magnoliabridge.ids.WeightVersion;
import org.magnoliabridge.lease.LeaseView;

class WeightsCoreTest {
    private static final ModelId MODEL = new ModelId("coachgen");
    private static final WeightsSettings SETTINGS = WeightsSettings.forRate(60, 20);

    /** Guards the target of 16 s for 600 samplers, with a store of 60 loads/s and swaps of 2 s. */
    @Test
    void sixHundredSamplersSwapWithinSixteenSeconds() {
        FleetSimulation fleet = new FleetSimulation(60, 20, SETTINGS);
        fleet.add("card-models", 400, true);
        fleet.add("coachgen", 200, true);
        fleet.add("coachgen", 40, false);
        fleet.run(1_000);
        fleet.publish("card-models", 2);
        fleet.publish("coachgen", 2);
        fleet.run(30_000);
        long lastMs = fleet.loadedMs.entrySet().stream()
                .filter(e -> e.getKey().value().contains("-s"))
                .mapToLong(e -> e.getValue() - 1_000)
                .max()
                .orElseThrow();
        System.out.printf(
                "weights: 600 samplers in %d ms (store 60 loads/s, burst 20, swap %d ms), %d permits refused%n",
                lastMs, FleetSimulation.LOAD_MS, fleet.refusedPermits);
        assertThat(fleet.violations, is(empty()));
        assertThat(fleet.countAt(2), is(640L));
        assertThat(lastMs, lessThanOrEqualTo(16_000L));
    }

    /** Guards against trusting an accepted order: an engine that never reports the version is excluded. */
    @Test
    void engineThatNeverReportsIsExcludedAfterThreeRetries() {
        FleetSimulation fleet = fleetOfEight();
        EndpointId failing = new EndpointId("coachgen-s0");
        fleet.failingEngines.add(failing);
        fleet.run(60_000);
        assertThat(fleet.ordersByEngine.get(failing), is(4));
        assertThat(fleet.effects, hasItem(new WeightsEffect.Exclude(failing, MODEL, new WeightVersion(2))));
        assertThat(fleet.countAt(2), is(7L));
        fleet.failingEngines.clear();
        fleet.publish("coachgen", 3);
        fleet.run(120_000);
        assertThat(fleet.effects, hasItem(new WeightsEffect.Reinstate(failing, MODEL)));
        assertThat(fleet.countAt(3), is(8L));
    }

    /** Guards against a faulty version that gets all engines of a service excluded one after the other. */
    @Test
    void versionThatNoEngineLoadsIsHalted() {
        FleetSimulation fleet = fleetOfEight();
        for (int i = 0; i < 8; i++) {
            fleet.failingEngines.add(new EndpointId("coachgen-s" + i));
        }
        fleet.run(200_000);
        assertThat(fleet.effects, hasItem(new WeightsEffect.Halted(MODEL, new WeightVersion(2))));
        long out = fleet.effects.stream()
                .filter(WeightsEffect.Exclude.class::isInstance)
                .count();
        long back = fleet.effects.stream()
                .filter(WeightsEffect.Reinstate.class::isInstance)
                .count();
        assertThat(back, is(out));
    }

    /** Guards against overloading a weight store that is slower than the settings say. */
    @Test
    void refusedPermitsAreRetriedAfterAWait() {
        FleetSimulation fleet = new FleetSimulation(2, 1, SETTINGS);
        fleet.add("coachgen", 40, true);
        fleet.run(1_000);
        fleet.publish("coachgen", 2);
        fleet.run(60_000);
        assertThat(fleet.countAt(2), is(40L));
        assertThat(fleet.refusedPermits, greaterThan(0L));
        assertThat("at least a second of delay after each refusal", fleet.refusedPermits, lessThanOrEqualTo(60L * 10));
        assertThat(fleet.effects, not(hasItem(instanceOf(WeightsEffect.Exclude.class))));
    }

    /** Guards against orders after the lease is lost, and against a rollout that ends with its lease holder. */
    @Test
    void newHolderFinishesTheRollout() {
        FleetSimulation fleet = fleetOfEight();
        fleet.lease = new LeaseView(true, new FencingToken(1), 0, 3_000);
        fleet.run(20_000);
        long ordered = fleet.ordersByEngine.size();
        assertThat(ordered, lessThanOrEqualTo(4L));
        fleet.core = new WeightsCore(SETTINGS, fleet.nowMs);
        fleet.lease = new LeaseView(true, new FencingToken(2), fleet.nowMs, Long.MAX_VALUE);
        fleet.publish("coachgen", 2);
        fleet.run(60_000);
        assertThat(fleet.countAt(2), is(8L));
        assertThat(fleet.violations, is(empty()));
    }

    /** Guards against all engines pausing for each version although work may run on the previous one. */
    @Test
    void halfOfTheEnginesLoadEachVersionIfWorkMayRunOnThePreviousOne() {
        FleetSimulation fleet = fleetOfEight();
        fleet.setAllowedLag("coachgen", 1);
        fleet.run(20_000);
        assertThat(fleet.countAt(2), is(4L));
        fleet.publish("coachgen", 3);
        fleet.run(40_000);
        assertThat("the other half", fleet.countAt(3), is(4L));
        assertThat("none is two versions old", fleet.countAt(1), is(0L));
        fleet.publish("coachgen", 4);
        fleet.run(60_000);
        assertThat(fleet.countAt(4), is(4L));
        assertThat(fleet.countAt(3), is(4L));
        assertThat(
                fleet.ordersByEngine.values().stream()
                        .mapToInt(Integer::intValue)
                        .sum(),
                is(12));
    }

    /** Guards against engines that stay older than work allows when versions are published faster than they load. */
    @Test
    void engineBeyondTheLagLoadsEvenIfEnoughOthersAreUpToDate() {
        FleetSimulation fleet = fleetOfEight();
        fleet.setAllowedLag("coachgen", 1);
        fleet.publish("coachgen", 3);
        fleet.run(40_000);
        assertThat("engines that were loading when the next version was published", fleet.countAt(2), is(2L));
        assertThat(fleet.countAt(3), is(6L));
    }

    private static FleetSimulation fleetOfEight() {
        FleetSimulation fleet = new FleetSimulation(60, 20, SETTINGS);
        fleet.add("coachgen", 8, true);
        fleet.run(1_000);
        fleet.publish("coachgen", 2);
        return fleet;
    }
}

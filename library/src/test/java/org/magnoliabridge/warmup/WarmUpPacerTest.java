package org.magnoliabridge.warmup;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.ServiceId;

class WarmUpPacerTest {
    private static final ServiceId SERVICE = new ServiceId("coachgen");
    private static final EndpointId E1 = new EndpointId("e1");
    private static final long START_MS = 100_000;

    private final WarmUpPacer pacer = WarmUps.ofOnlyNode(START_MS, WarmUps.limits(SERVICE, true, false));

    private void list(long nowMs, long incarnation, long warmUpMs) {
        pacer.replaceEndpoints(nowMs, List.of(WarmUps.listed("e1", SERVICE, incarnation, warmUpMs)));
    }

    /** Guards against a pace for endpoints that were there when this node started. */
    @Test
    void endpointsOfTheFirstListAreWarmUnlessTheirEntrySaysOtherwise() {
        WarmUpPacer fresh = new WarmUpPacer(WarmUps.node(0));
        fresh.replaceServices(WarmUps.limits(SERVICE, true, false));
        fresh.replaceEndpoints(
                0, List.of(WarmUps.listed("e1", SERVICE, 1, 0), WarmUps.listed("e2", SERVICE, 1, 1_200)));
        assertThat(fresh.isCold(0, E1), is(false));
        assertThat(fresh.isCold(1_199, new EndpointId("e2")), is(true));
        assertThat(fresh.isCold(1_200, new EndpointId("e2")), is(false));
    }

    /** Guards against an endpoint that gets all its slots at once because its first entry does not say it is cold. */
    @Test
    void laterEndpointIsColdForTheWholeDuration() {
        list(START_MS, 1, 0);
        assertThat(pacer.isCold(START_MS + WarmUps.DURATION_MS - 1, E1), is(true));
        assertThat(pacer.isCold(START_MS + WarmUps.DURATION_MS, E1), is(false));
        assertThat(pacer.takeNewlyCold(), contains(new ColdEndpoint(E1, WarmUps.DURATION_MS, "it has started")));
        assertThat(pacer.takeNewlyCold(), empty());
    }

    /** Guards against a restart under the same id that goes unnoticed. */
    @Test
    void anotherIncarnationIsColdAgain() {
        list(START_MS, 1, 0);
        list(START_MS + 10_000, 2, 0);
        assertThat(pacer.isCold(START_MS + 10_000, E1), is(true));
    }

    /** Guards against an endpoint that becomes cold without a restart. */
    @Test
    void endpointIsColdAgainWhenItsEntrySaysSo() {
        list(START_MS, 1, 0);
        list(START_MS + 10_000, 1, 700);
        assertThat(pacer.isCold(START_MS + 10_699, E1), is(true));
        assertThat(pacer.isCold(START_MS + 10_700, E1), is(false));
    }

    /** Guards against an old figure that makes an endpoint cold again whenever the list is read. */
    @Test
    void entryThatIsReadAgainDoesNotProlongTheWarmUp() {
        list(START_MS, 1, 2_500);
        list(START_MS + 1_000, 1, 2_500);
        assertThat(pacer.isCold(START_MS + 2_500, E1), is(false));
    }

    /** Guards against a pace after every outage of the store, in which entries expire. */
    @Test
    void sameIncarnationThatIsListedAgainHasNotRestarted() {
        list(START_MS, 1, 0);
        pacer.replaceEndpoints(START_MS + 10_000, List.of());
        list(START_MS + 20_000, 1, 0);
        assertThat(pacer.isCold(START_MS + 20_000, E1), is(false));
    }

    /** Guards against a restarted endpoint that gets all its slots before its entry is read. */
    @Test
    void unreachableEndpointIsColdUntilItHasAnsweredForTheDuration() {
        list(START_MS, 1, 0);
        long downMs = START_MS + 10_000;
        pacer.unreachable(downMs, E1);
        assertThat(pacer.isCold(downMs + 60_000, E1), is(true));
        pacer.answered(downMs + 60_000, E1);
        assertThat(pacer.isCold(downMs + 62_999, E1), is(true));
        assertThat(pacer.isCold(downMs + 63_000, E1), is(false));
    }

    /** Guards against full use of endpoints that became cold while their data centre was evacuated. */
    @Test
    void endpointsOfAReturningDataCentreAreCold() {
        list(START_MS, 1, 0);
        long backMs = START_MS + 10_000;
        pacer.possiblyCold(backMs, new DataCentre("soar"));
        assertThat(pacer.isCold(backMs, E1), is(false));
        pacer.possiblyCold(backMs, new DataCentre("trent"));
        assertThat(pacer.isCold(backMs + WarmUps.DURATION_MS - 1, E1), is(true));
        assertThat(pacer.isCold(backMs + WarmUps.DURATION_MS, E1), is(false));
    }

    /** Guards against a change for deployments without limits. */
    @Test
    void nothingIsColdWithoutLimits() {
        WarmUpPacer unlimited = WarmUps.ofOnlyNode(START_MS, Map.of());
        unlimited.replaceEndpoints(START_MS, List.of(WarmUps.listed("e1", SERVICE, 1, 2_000)));
        unlimited.unreachable(START_MS, E1);
        for (int i = 0; i < 100; i++) {
            assertThat(unlimited.maySend(START_MS, Sender.RUNNER, E1), is(true));
            unlimited.sent(START_MS, Sender.RUNNER, E1);
        }
        assertThat(unlimited.isCold(START_MS, E1), is(false));
        assertThat(unlimited.takeNewlyCold(), empty());
    }

    /** Guards against a burst at a cold endpoint, and against a rate far below the tolerated one. */
    @Test
    void requestsToAColdEndpointComeInStepsAtTheToleratedRate() {
        list(START_MS, 1, 10_000);
        List<Long> times = new ArrayList<>();
        for (long now = START_MS; now < START_MS + 10_000; now += 10) {
            while (pacer.maySend(now, Sender.RUNNER, E1)) {
                pacer.sent(now, Sender.RUNNER, E1);
                times.add(now);
            }
        }
        assertThat(times.stream().filter(t -> t == START_MS).count(), is(2L));
        assertThat(Spans.most(times, 1_000), lessThanOrEqualTo(8));
        assertThat(times.size(), greaterThanOrEqualTo(72));
    }

    /** Guards against a restriction that outlasts the warm-up. */
    @Test
    void warmEndpointIsNotPaced() {
        list(START_MS, 1, 500);
        for (int i = 0; i < 100; i++) {
            assertThat(pacer.maySend(START_MS + 500, Sender.RUNNER, E1), is(true));
            pacer.sent(START_MS + 500, Sender.RUNNER, E1);
        }
    }

    /** Guards against requests just before the entry said that the endpoint is cold again. */
    @Test
    void requestsSentBeforeTheEndpointWasKnownToBeColdCount() {
        list(START_MS, 1, 100);
        long warmMs = START_MS + 10_000;
        for (int i = 0; i < 8; i++) {
            pacer.sent(warmMs, Sender.RUNNER, E1);
        }
        list(warmMs + 500, 1, 3_000);
        assertThat(pacer.maySend(warmMs + 1_000, Sender.RUNNER, E1), is(false));
        assertThat(pacer.maySend(warmMs + 1_001, Sender.RUNNER, E1), is(true));
    }

    /** Guards against two runners that use the runner's share within one second. */
    @Test
    void newRunnerWaitsBeforeItUsesTheShareOfTheRunner() {
        list(START_MS, 1, 60_000);
        pacer.setRunner(START_MS, false);
        assertThat(pacer.maySend(START_MS, Sender.RUNNER, E1), is(false));
        pacer.setRunner(START_MS + 100, true);
        assertThat(pacer.maySend(START_MS + 2_099, Sender.RUNNER, E1), is(false));
        assertThat(pacer.maySend(START_MS + 2_100, Sender.RUNNER, E1), is(true));
        List<Long> times = new ArrayList<>();
        for (long now = START_MS + 2_100; now < START_MS + 15_100; now += 10) {
            while (pacer.maySend(now, Sender.RUNNER, E1)) {
                pacer.sent(now, Sender.RUNNER, E1);
                times.add(now);
            }
        }
        // With the whole share of a previous runner that is cut off, one and a half times the tolerated rate.
        assertThat(Spans.most(times, 1_000), is(4));
    }

    /** Guards against sends of a node that others have stopped to count. */
    @Test
    void nodeWithoutMajoritySendsNothingToColdEndpoints() {
        WarmUpPacer both = WarmUps.ofOnlyNode(START_MS, WarmUps.limits(SERVICE, true, true));
        both.replaceEndpoints(START_MS, List.of(WarmUps.listed("e1", SERVICE, 1, 60_000)));
        assertThat(both.maySend(START_MS, Sender.CALLERS, E1), is(true));
        both.setMembers(START_MS, List.of(WarmUps.node(0), WarmUps.node(1), WarmUps.node(2)), false);
        for (Sender sender : Sender.values()) {
            assertThat(both.maySend(START_MS, sender, E1), is(false));
        }
        assertThat(both.heldBack(), is(2L));
    }

    /** Guards against shares that add up to more than the endpoint tolerates. */
    @Test
    void sharesAddUpToWhatTheEndpointTolerates() {
        for (double rate : new double[] {0.2, 1, 2.9, 8.1, 100}) {
            WarmUpLimits limits = new WarmUpLimits(1_000, rate);
            for (boolean items : new boolean[] {true, false}) {
                for (boolean callers : new boolean[] {true, false}) {
                    ServiceWarmUp service = new ServiceWarmUp(limits, items, callers);
                    int sum = service.requests(Sender.RUNNER) + service.requests(Sender.CALLERS);
                    assertThat(sum, is(Math.max(1, (int) rate)));
                }
            }
        }
    }
}

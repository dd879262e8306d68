package org.magnoliabridge.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.magnoliabridge.ids.EndpointId;

class SlowEngineDetectorTest {
    private static final EndpointId SLOW = new EndpointId("slow");
    private static final EndpointId QUICK = new EndpointId("quick");
    private static final EndpointId HEALTHY = new EndpointId("sound");
    private static final long PERIOD_MS = 100;
    private static final int RUNS = 8;

    private final SlowEngineDetector detector = new SlowEngineDetector();
    private long nowMs;

    /** Guards against a step that waits for an engine which is three times slower than before but reports no fault. */
    @Test
    void engineThatBecomesSlowIsDetectedWithinASecond() {
        runPeriods(20, 2.7, 3.0);
        assertThat(detector.slowEngines(), is(empty()));
        runPeriods(10, 0.9, 3.0);
        assertThat(detector.slowEngines(), contains(SLOW));
    }

    /** Guards against excluding healthy engines because the engines of a service differ in speed. */
    @Test
    void differencesBetweenHealthyEnginesAreNoFault() {
        runPeriods(200, 2.1, 3.2);
        assertThat(detector.slowEngines(), is(empty()));
    }

    /** Guards against an engine that stays excluded after it has recovered. */
    @Test
    void recoveredEngineIsNoLongerSlow() {
        runPeriods(20, 0.5, 3.0);
        assertThat(detector.isSlow(SLOW), is(true));
        runPeriods(60, 2.7, 3.0);
        assertThat(detector.isSlow(SLOW), is(false));
    }

    /** Guards against judging a single engine, which has no other engine to be compared with. */
    @Test
    void singleEngineIsNeverSlow() {
        for (int i = 0; i < 40; i++) {
            nowMs += PERIOD_MS;
            observe(SLOW, i < 20 ? 2.7 : 0.9);
            detector.evaluate(nowMs);
        }
        assertThat(detector.slowEngines(), is(empty()));
    }

    private void runPeriods(int periods, double eventsOfSlow, double eventsOfOthers) {
        for (int i = 0; i < periods; i++) {
            nowMs += PERIOD_MS;
            observe(SLOW, eventsOfSlow);
            observe(QUICK, eventsOfOthers);
            observe(HEALTHY, eventsOfOthers * 0.95);
            detector.evaluate(nowMs);
        }
    }

    // Reports the events of all runs in a period; fractions of events are distributed over the runs.
    private void observe(EndpointId engine, double eventsPerRun) {
        double total = 0;
        for (int run = 0; run < RUNS; run++) {
            long events = Math.round(eventsPerRun * (run + 1)) - Math.round(total);
            total = eventsPerRun * (run + 1);
            detector.observe(engine, events, PERIOD_MS);
        }
    }
}

package org.magnoliabridge.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.Random;
import java.util.Set;
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

    /** Guards against taking engines of a slower kind for slow ones, whose runs would be moved again and again. */
    @Test
    void slowerKindsOfEnginesAreNoFault() {
        for (int i = 0; i < 200; i++) {
            nowMs += PERIOD_MS;
            for (int engine = 0; engine < 9; engine++) {
                observe(new EndpointId("e" + engine), engine % 3 == 0 ? 5.1 : 2.1);
            }
            detector.evaluate(nowMs);
            assertThat(detector.slowEngines(), is(empty()));
        }
        assertThat(detector.relativeSpeed(new EndpointId("e0")), is(closeTo(2.25, 0.01)));
        assertThat(detector.relativeSpeed(new EndpointId("e1")), is(1.0));
    }

    /** Guards against a slow engine of a fast kind that still is as fast as the other kinds. */
    @Test
    void slowEngineOfAFastKindIsDetected() {
        for (int i = 0; i < 60; i++) {
            nowMs += PERIOD_MS;
            observe(SLOW, i < 40 ? 5.1 : 1.9);
            observe(QUICK, 2.1);
            observe(HEALTHY, 2.1);
            detector.evaluate(nowMs);
        }
        assertThat(detector.slowEngines(), contains(SLOW));
    }

    /**
     * Guards against moving runs from engines that recover by themselves. Replays the load: 34 engines of two kinds, of
     * which 15 in 100 are 2.5 times slower in each 600 ms.
     */
    @Test
    void briefSlowdownsAreMostlyIgnored() {
        // Of 357 brief slowdowns.
        assertThat(detectionsOfBriefSlowdowns(), is(lessThan(36)));
    }

    private int detectionsOfBriefSlowdowns() {
        Random random = new Random(1);
        int engines = 34;
        Set<EndpointId> before = Set.of();
        int detections = 0;
        double[] factor = new double[engines];
        for (int i = 0; i < 420; i++) {
            nowMs += PERIOD_MS;
            for (int e = 0; e < engines; e++) {
                if (i % 6 == 0) {
                    factor[e] = random.nextInt(100) < 15 ? 2.5 : 1;
                }
                observe(new EndpointId("e" + e), (e % 3 == 0 ? 5.1 : 2.1) / factor[e]);
            }
            detector.evaluate(nowMs);
            Set<EndpointId> slow = detector.slowEngines();
            for (EndpointId engine : slow) {
                detections += before.contains(engine) ? 0 : 1;
            }
            before = slow;
        }
        return detections;
    }

    /** Guards against a slowdown of seconds that is taken for a brief one where those are frequent. */
    @Test
    void longSlowdownAmongBriefOnesIsDetected() {
        assertThat(detectionsOfBriefSlowdowns(), is(greaterThan(0)));
        for (int i = 0; i < 25; i++) {
            nowMs += PERIOD_MS;
            for (int e = 0; e < 34; e++) {
                observe(new EndpointId("e" + e), (e % 3 == 0 ? 5.1 : 2.1) / (e == 4 ? 3.5 : 1));
            }
            detector.evaluate(nowMs);
        }
        assertThat(detector.isSlow(new EndpointId("e4")), is(true));
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

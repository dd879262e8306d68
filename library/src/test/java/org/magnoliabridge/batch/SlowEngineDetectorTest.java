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
    private static final EndpointId SOUND = new EndpointId("sound");
    private static final long PERIOD_MS = 100;
    private static final int RUNS = 8;

    private final SlowEngineDetector detector = new SlowEngineDetector();
    private long nowMs;

    /** Guards against a step that waits for an engine which has turned three times slower but reports itself sound. */
    @Test
    void engineThatTurnsSlowIsFoundWithinASecond() {
        play(20, 2.7, 3.0);
        assertThat(detector.slowEngines(), is(empty()));
        play(10, 0.9, 3.0);
        assertThat(detector.slowEngines(), contains(SLOW));
    }

    /** Guards against good engines that are left out because engines of a service differ in speed. */
    @Test
    void differencesBetweenSoundEnginesAreNoFault() {
        play(200, 2.1, 3.2);
        assertThat(detector.slowEngines(), is(empty()));
    }

    /** Guards against an engine that stays left out after it is sound again. */
    @Test
    void recoveredEngineComesBack() {
        play(20, 0.5, 3.0);
        assertThat(detector.isSlow(SLOW), is(true));
        play(60, 2.7, 3.0);
        assertThat(detector.isSlow(SLOW), is(false));
    }

    /** Guards against an only engine that is compared with itself. */
    @Test
    void onlyEngineIsComparedWithThePaceOfBefore() {
        for (int i = 0; i < 40; i++) {
            nowMs += PERIOD_MS;
            observe(SLOW, i < 20 ? 2.7 : 0.9);
            detector.evaluate(nowMs);
        }
        assertThat(detector.slowEngines(), is(empty()));
    }

    private void play(int periods, double eventsOfSlow, double eventsOfOthers) {
        for (int i = 0; i < periods; i++) {
            nowMs += PERIOD_MS;
            observe(SLOW, eventsOfSlow);
            observe(QUICK, eventsOfOthers);
            observe(SOUND, eventsOfOthers * 0.95);
            detector.evaluate(nowMs);
        }
    }

    // Events of all runs in a period; the fraction is spread over the runs.
    private void observe(EndpointId engine, double eventsPerRun) {
        double made = 0;
        for (int run = 0; run < RUNS; run++) {
            long events = Math.round(eventsPerRun * (run + 1)) - Math.round(made);
            made = eventsPerRun * (run + 1);
            detector.observe(engine, events, PERIOD_MS);
        }
    }
}

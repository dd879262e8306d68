package org.magnoliabridge.core;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class SuspensionDetectorTest {
    private long monotonicMs = 5_000;
    private long wallMs = 1_000_000;
    private long readingMs;
    private final SuspensionDetector detector = new SuspensionDetector(this::readMonotonic, () -> wallMs);

    /** Guards against a suspension that is not noticed, and against one that is noticed again and again. */
    @Test
    void detectsEachSuspensionOnce() {
        wallMs += 2_000;
        assertThat(detector.detected(), is(1L));
        advance(10_000);
        assertThat(detector.detected(), is(1L));
        wallMs += 101;
        assertThat(detector.detected(), is(2L));
    }

    /** Guards against many short suspensions, none of which is noticed. */
    @Test
    void shortSuspensionsAddUp() {
        for (int i = 0; i < 10; i++) {
            wallMs += 50;
            detector.detected();
        }
        assertThat(detector.detected(), is(3L));
    }

    /** Guards against a step of the wall clock back that hides the suspensions after it. */
    @Test
    void detectsASuspensionAfterAStepBack() {
        wallMs -= 3_000;
        assertThat(detector.detected(), is(0L));
        wallMs += 1_000;
        assertThat(detector.detected(), is(1L));
    }

    /** Guards against a thread that was preempted between the readings of the clocks and reports a suspension. */
    @Test
    void preemptionBetweenReadingsIsNoSuspension() {
        readingMs = 500;
        assertThat(detector.detected(), is(0L));
    }

    private void advance(long ms) {
        monotonicMs += ms;
        wallMs += ms;
    }

    // The first reading is followed by a preemption, during which both clocks go on.
    private long readMonotonic() {
        long read = monotonicMs;
        advance(readingMs);
        readingMs = 0;
        return read;
    }
}

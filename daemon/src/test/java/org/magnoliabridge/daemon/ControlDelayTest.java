package org.magnoliabridge.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Test;

class ControlDelayTest {
    private final MetricRegistry metrics = new MetricRegistry();
    private final ControlDelay delay = new ControlDelay(100, metrics);

    /** Guards against a late control thread that no metric shows. */
    @Test
    void lateStartIsRecorded() {
        delay.started(1_000);
        delay.ended(1_050);
        delay.started(1_900);
        assertThat(metrics.histogram("control.delay_ms").getSnapshot().getMax(), is(750L));
    }

    /** Guards against the duration of the task itself, or a timely start, that counts as a delay. */
    @Test
    void timelyStartIsNoDelay() {
        delay.started(1_000);
        delay.ended(1_500);
        delay.started(1_600);
        assertThat(metrics.histogram("control.delay_ms").getSnapshot().getMax(), is(0L));
    }
}

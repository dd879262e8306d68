package org.magnoliabridge.daemon;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;
import org.magnoliabridge.telemetry.LogFields;

/** Measures how late the control thread starts a periodic task; control thread only. */
final class ControlDelay {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final long LATE_MS = 200;

    private final long periodMs;
    private final Histogram delays;
    private long dueMs = Long.MAX_VALUE;

    /**
     * Creates a measurement without a start yet.
     *
     * @param periodMs from the end of one run of the task to the start of the next
     */
    ControlDelay(long periodMs, MetricRegistry metrics) {
        this.periodMs = periodMs;
        this.delays = metrics.histogram("control.delay_ms");
    }

    /** Records a start of the task. */
    void started(long nowMs) {
        long delayMs = Math.max(0, nowMs - dueMs);
        delays.update(delayMs);
        if (delayMs > LATE_MS) {
            LOG.atWarning()
                    .atMostEvery(1, TimeUnit.SECONDS)
                    .with(LogFields.AGE_MS, delayMs)
                    .log("control thread is late");
        }
    }

    /** Records the end of the task. */
    void ended(long nowMs) {
        dueMs = nowMs + periodMs;
    }
}

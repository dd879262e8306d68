package org.magnoliabridge.daemon;

import com.codahale.metrics.MetricRegistry;
import org.magnoliabridge.batch.StartGate;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.ids.BatchId;

/** Holds what is about to be sent for a batch until a recent check of the store shows that the batch is open. */
final class SendHold {
    // How long a send waits for a check of the store; shorter than the time after which a run has stalled.
    private static final long MAX_HOLD_MS = 400;
    private static final long HOLD_STEP_MS = 20;

    private final StartGate gate;
    private final MonotonicClock clock;
    private final MetricRegistry metrics;

    SendHold(StartGate gate, MonotonicClock clock, MetricRegistry metrics) {
        this.gate = gate;
        this.clock = clock;
        this.metrics = metrics;
    }

    /**
     * Decides last, immediately before a send; blocks for a while if there is no recent check.
     *
     * @return whether the send may be made
     */
    boolean maySend(BatchId batch) throws InterruptedException {
        long untilMs = clock.nowMs() + MAX_HOLD_MS;
        while (true) {
            long nowMs = clock.nowMs();
            switch (gate.decide(nowMs, batch)) {
                case SEND -> {
                    return true;
                }
                case ENDED -> {
                    metrics.counter("batch.withheld.ended").inc();
                    return false;
                }
                case CHECK_FIRST -> {
                    if (nowMs >= untilMs) {
                        metrics.counter("batch.withheld.unchecked").inc();
                        return false;
                    }
                }
                default -> throw new IllegalStateException("unknown decision");
            }
            Thread.sleep(HOLD_STEP_MS);
        }
    }
}

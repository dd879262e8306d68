package org.magnoliabridge.measure;

import java.util.ArrayList;
import java.util.List;

/** Processor time of a call with an idempotency key that arrives alone. */
final class LedgerTime implements Measurement {
    // The calls of the timed runs add records too: 40 at each size, so they move the line but not its gradient.
    private static final int CALLS = 5;

    @Override
    public Slope run() {
        List<Slope.Point> points = new ArrayList<>();
        for (int records : List.of(200, 400, 800, 1_600)) {
            LedgerNode node = new LedgerNode();
            node.calls(records);
            double nanos = CpuMeter.medianNanos(() -> {
                for (int i = 0; i < CALLS; i++) {
                    node.calls(1);
                }
            });
            points.add(new Slope.Point(records, nanos / 1_000 / CALLS));
        }
        return Slope.fit("ledger processor time per call", "records", "us", points);
    }
}

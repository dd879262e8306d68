package org.magnoliabridge.measure;

import java.util.ArrayList;
import java.util.List;

/**
 * Store writes of all calls that arrive together; the writes per call are this figure divided by the calls.
 *
 * <p>A call that arrives alone takes 2 writes and is not on the line, which starts at batches.
 */
final class LedgerWrites implements Measurement {
    @Override
    public Slope run() {
        List<Slope.Point> points = new ArrayList<>();
        for (int calls : List.of(4, 16, 64, 256)) {
            LedgerNode node = new LedgerNode();
            node.calls(1);
            long before = node.store.writes();
            node.calls(calls);
            points.add(new Slope.Point(calls, node.store.writes() - before));
        }
        return Slope.fit("ledger store writes of a batch", "concurrent calls", "writes", points);
    }
}

package org.magnoliabridge.measure;

import java.util.ArrayList;
import java.util.List;

/** Size of a shard object of the ledger. */
final class LedgerBytes implements Measurement {
    @Override
    public Slope run() {
        List<Slope.Point> points = new ArrayList<>();
        for (int records : List.of(100, 200, 400, 800)) {
            LedgerNode node = new LedgerNode();
            node.calls(records);
            points.add(new Slope.Point(records, node.store.lastWriteBytes()));
        }
        return Slope.fit("ledger shard object, answers of 200 bytes", "records", "bytes", points);
    }
}

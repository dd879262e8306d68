package org.magnoliabridge.measure;

import java.util.ArrayList;
import java.util.List;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.lease.LeaseCore;
import org.magnoliabridge.lease.LeaseEffect;
import org.magnoliabridge.lease.LeaseSettings;

/** Store calls of leases with a holder and one more candidate each. */
final class LeaseCalls implements Measurement {
    private static final int MINUTES = 10;
    private static final long TICK_MS = 100;

    @Override
    public Slope run() {
        List<Slope.Point> points = new ArrayList<>();
        for (int scopes : List.of(1, 2, 4, 8)) {
            points.add(new Slope.Point(scopes, callsPerMinute(scopes)));
        }
        return Slope.fit("lease store calls", "scopes", "calls/min", points);
    }

    private static double callsPerMinute(int scopes) {
        MemoryObjects store = new MemoryObjects();
        List<LeaseCore> cores = new ArrayList<>();
        for (int scope = 0; scope < scopes; scope++) {
            for (int node = 0; node < 2; node++) {
                ObjectKey key = new ObjectKey("leases/scope-" + scope);
                LeaseCore core =
                        new LeaseCore(key, new NodeId("node-" + node), new Incarnation(1), LeaseSettings.DEFAULT, 0);
                core.setCandidate(true);
                cores.add(core);
            }
        }
        long nowMs = run(cores, store, 0, 60_000);
        long before = store.calls();
        run(cores, store, nowMs, nowMs + MINUTES * 60_000L);
        if (cores.stream().filter(c -> c.view().held()).count() != scopes) {
            throw new IllegalStateException("a lease has no holder");
        }
        return (double) (store.calls() - before) / MINUTES;
    }

    private static long run(List<LeaseCore> cores, MemoryObjects store, long startMs, long endMs) {
        long nowMs = startMs;
        for (; nowMs < endMs; nowMs += TICK_MS) {
            for (LeaseCore core : cores) {
                List<LeaseEffect> effects = new ArrayList<>(core.onTick(nowMs));
                while (!effects.isEmpty()) {
                    if (effects.remove(0) instanceof LeaseEffect.Call call) {
                        effects.addAll(core.onReply(nowMs, call.callId(), store.answer(call.request())));
                    }
                }
            }
        }
        return nowMs;
    }
}

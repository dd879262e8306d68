package org.magnoliabridge.warmup;

import java.util.List;
import java.util.Map;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.ServiceId;

/** Pacers and endpoints for tests. */
public final class WarmUps {
    public static final long DURATION_MS = 3_000;
    public static final double PER_SECOND = 8.1;

    private static final DataCentre TRENT = new DataCentre("trent");

    private WarmUps() {}

    public static NodeId node(int number) {
        return new NodeId("node-" + number);
    }

    /** Returns the limits of one service, for a service that runs items or serves callers. */
    public static Map<ServiceId, ServiceWarmUp> limits(ServiceId service, boolean runsItems, boolean servesCallers) {
        return Map.of(service, new ServiceWarmUp(new WarmUpLimits(DURATION_MS, PER_SECOND), runsItems, servesCallers));
    }

    public static ListedEndpoint listed(String id, ServiceId service, long incarnation, long warmUpMs) {
        return new ListedEndpoint(new EndpointId(id), service, TRENT, new Incarnation(incarnation), warmUpMs);
    }

    /** Returns the pacer of the only node, which is the runner and has been a member for long at {@code nowMs}. */
    public static WarmUpPacer ofOnlyNode(long nowMs, Map<ServiceId, ServiceWarmUp> services) {
        WarmUpPacer pacer = new WarmUpPacer(node(0));
        pacer.replaceServices(services);
        long joinedMs = nowMs - 2 * CallerShare.JOIN_MS;
        pacer.setMembers(joinedMs, List.of(node(0)), true);
        pacer.setMembers(nowMs, List.of(node(0)), true);
        pacer.setRunner(joinedMs, true);
        pacer.replaceEndpoints(joinedMs, List.of());
        return pacer;
    }
}

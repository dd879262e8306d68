package org.magnoliabridge.warmup;

import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.ServiceId;

/**
 * Limits what this node sends to cold endpoints, so that all nodes together send no more than an endpoint tolerates.
 *
 * <p>Endpoints of services without limits are never cold. Deterministic and not thread-safe; all times are readings of
 * the node's monotonic clock in milliseconds.
 *
 * <pre>{@code
 * if (pacer.maySend(nowMs, Sender.CALLERS, endpoint)) {
 *     pacer.sent(nowMs, Sender.CALLERS, endpoint);
 *     ...
 * }
 * }</pre>
 */
public final class WarmUpPacer {
    // A previous runner that has stopped sent its last requests more than a second before.
    static final long RUNNER_WAIT_MS = 2_000;
    // A previous runner on the smaller side of a partition stops within this time; until then the new one sends half.
    static final long RUNNER_OVERLAP_MS = 15_000;

    private final WarmUpTable table = new WarmUpTable();
    private final CallerShare callers;
    private final Map<EndpointId, Map<Sender, SentRequests>> sent = new HashMap<>();
    private boolean limited;
    private boolean runner;
    private boolean majority;
    private long runnerSinceMs;
    private long heldBack;

    /** Creates a pacer without services, which limits nothing. */
    public WarmUpPacer(NodeId self) {
        callers = new CallerShare(self);
    }

    /** Returns a pacer that limits nothing. */
    public static WarmUpPacer unlimited() {
        return new WarmUpPacer(new NodeId("unlimited"));
    }

    /** Replaces the services whose endpoints have limits after their start. */
    public void replaceServices(Map<ServiceId, ServiceWarmUp> services) {
        limited = !services.isEmpty();
        table.replaceServices(services);
    }

    /** Replaces the list of endpoints. */
    public void replaceEndpoints(long nowMs, Collection<ListedEndpoint> endpoints) {
        table.replaceEndpoints(nowMs, endpoints);
        sent.keySet().removeIf(id -> table.limits(id).isEmpty());
    }

    /** Sets the nodes that are not known to have ended, and whether this node reaches a majority of them. */
    public void setMembers(long nowMs, Collection<NodeId> members, boolean majorityReached) {
        majority = majorityReached;
        callers.setMembers(nowMs, members);
        callers.setMajority(nowMs, majorityReached);
    }

    /** Sets whether this node runs the batches. */
    public void setRunner(long nowMs, boolean isRunner) {
        if (isRunner && !runner) {
            runnerSinceMs = nowMs;
        }
        runner = isRunner;
    }

    /** Sets the wall clock, in milliseconds since the epoch; to be called often. */
    public void setWallClock(long nowMs, long wallMs) {
        callers.setWallClock(nowMs, wallMs);
    }

    /** Counts the endpoints of a data centre as cold, as after its evacuation. */
    public void possiblyCold(long nowMs, DataCentre dataCentre) {
        table.possiblyCold(nowMs, dataCentre);
    }

    /** Records that an endpoint was not reachable. */
    public void unreachable(long nowMs, EndpointId endpoint) {
        table.unreachable(nowMs, endpoint);
    }

    /** Records that an endpoint has answered. */
    public void answered(long nowMs, EndpointId endpoint) {
        table.answered(nowMs, endpoint);
    }

    /** Returns whether any service has limits. */
    public boolean isLimited() {
        return limited;
    }

    /** Returns whether an endpoint counts as cold. */
    public boolean isCold(long nowMs, EndpointId endpoint) {
        return limited && table.isCold(nowMs, endpoint);
    }

    /** Returns when an endpoint is expected to be warm, which is now if it is. */
    public long warmAtMs(long nowMs, EndpointId endpoint) {
        return table.warmAtMs(nowMs, endpoint);
    }

    /** Returns whether this node may send a request to an endpoint now. */
    public boolean maySend(long nowMs, Sender sender, EndpointId endpoint) {
        if (!isCold(nowMs, endpoint)) {
            return true;
        }
        ServiceWarmUp service = table.limits(endpoint).orElseThrow();
        int requests = requests(nowMs, sender, endpoint, service);
        SentRequests times = times(sender, endpoint);
        if (times.allows(nowMs, requests, service.limits().spanMs())) {
            return true;
        }
        heldBack += times.holdBack() ? 1 : 0;
        return false;
    }

    private int requests(long nowMs, Sender sender, EndpointId endpoint, ServiceWarmUp service) {
        if (sender == Sender.CALLERS) {
            return callers.requests(nowMs, endpoint, service);
        }
        if (!runner || !majority || nowMs - runnerSinceMs < RUNNER_WAIT_MS) {
            return 0;
        }
        int all = service.requests(Sender.RUNNER);
        return nowMs - runnerSinceMs < RUNNER_OVERLAP_MS ? all / 2 : all;
    }

    /** Records that a request is sent; also to a warm endpoint, which may have become cold without being listed so. */
    public void sent(long nowMs, Sender sender, EndpointId endpoint) {
        Optional<ServiceWarmUp> service = limited ? table.limits(endpoint) : Optional.empty();
        if (service.isPresent()) {
            SentRequests times = times(sender, endpoint);
            times.add(nowMs);
            times.forgetBefore(nowMs - service.get().limits().spanMs());
        }
    }

    /** Returns how many requests of callers this node may still send to an endpoint until a time. */
    public long callerRequestsUntil(long nowMs, long untilMs, EndpointId endpoint) {
        ServiceWarmUp service = table.limits(endpoint).orElseThrow();
        long spanMs = service.limits().spanMs();
        long recent = times(Sender.CALLERS, endpoint).countSince(nowMs - spanMs);
        return Math.max(0, callers.requestsUntil(nowMs, untilMs, endpoint, service) - recent);
    }

    /** Returns the number of endpoints that count as cold. */
    public long coldEndpoints(long nowMs) {
        return limited ? table.coldEndpoints(nowMs) : 0;
    }

    /** Returns how often a cold endpoint could get no further request because this node's share was used up. */
    public long heldBack() {
        return heldBack;
    }

    /** Returns the endpoints that began to count as cold since the last call. */
    public List<ColdEndpoint> takeNewlyCold() {
        return table.takeNewlyCold();
    }

    private SentRequests times(Sender sender, EndpointId endpoint) {
        return sent.computeIfAbsent(endpoint, id -> new EnumMap<>(Sender.class))
                .computeIfAbsent(sender, s -> new SentRequests());
    }
}

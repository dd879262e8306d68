package org.magnoliabridge.daemon;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.magnoliabridge.fleet.FleetEndpoint;
import org.magnoliabridge.gateway.GatewayConfig;
import org.magnoliabridge.gateway.GatewayRoute;
import org.magnoliabridge.gateway.GatewayService;
import org.magnoliabridge.gateway.RouteKind;
import org.magnoliabridge.gateway.WeightedService;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.membership.Member;
import org.magnoliabridge.membership.MemberState.Liveness;
import org.magnoliabridge.telemetry.LogFields;
import org.magnoliabridge.warmup.ColdEndpoint;
import org.magnoliabridge.warmup.ListedEndpoint;
import org.magnoliabridge.warmup.ServiceWarmUp;
import org.magnoliabridge.warmup.WarmUpPacer;

/** Tells the pacer of cold endpoints what this node knows; control thread only. */
final class WarmUpDriver {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final GatewayContext context;
    private final WarmUpPacer pacer;
    private boolean majority;
    // Shown by metrics, which other threads read.
    private volatile long coldEndpoints;
    private volatile long heldBack;

    WarmUpDriver(GatewayContext context) {
        this.context = context;
        this.pacer = new WarmUpPacer(context.settings().nodeId());
        context.metrics().gauge("warmup.cold_endpoints", () -> () -> coldEndpoints);
        context.metrics().gauge("warmup.held_back", () -> () -> heldBack);
    }

    WarmUpPacer pacer() {
        return pacer;
    }

    /** Applies the limits of a configuration. */
    void apply(GatewayConfig config) {
        pacer.replaceServices(services(config));
    }

    static Map<ServiceId, ServiceWarmUp> services(GatewayConfig config) {
        Set<ServiceId> runItems = new HashSet<>();
        Set<ServiceId> serveCallers = new HashSet<>();
        for (GatewayRoute route : config.routes()) {
            Set<ServiceId> users = route.kind() == RouteKind.BATCH ? runItems : serveCallers;
            route.services().stream().map(WeightedService::service).forEach(users::add);
        }
        Map<ServiceId, ServiceWarmUp> services = new HashMap<>();
        for (GatewayService service : config.services().values()) {
            service.warmUp()
                    .ifPresent(limits -> services.put(
                            service.id(),
                            new ServiceWarmUp(
                                    limits, runItems.contains(service.id()), serveCallers.contains(service.id()))));
        }
        return services;
    }

    /** Applies the list of endpoints, before routing does. */
    void listed(List<FleetEndpoint> endpoints) {
        List<ListedEndpoint> listed = endpoints.stream()
                .map(e -> new ListedEndpoint(
                        e.endpoint().id(),
                        e.endpoint().service(),
                        e.endpoint().dataCentre(),
                        e.endpoint().incarnation(),
                        e.warmUpMs()))
                .toList();
        pacer.replaceEndpoints(context.clock().nowMs(), listed);
        logNewlyCold();
    }

    /** Records that the evacuation of a data centre has ended: its endpoints may have become cold before. */
    void evacuationEnded(DataCentre dataCentre) {
        pacer.possiblyCold(context.clock().nowMs(), dataCentre);
        logNewlyCold();
    }

    void majority(boolean reached) {
        majority = reached;
    }

    /** Handles a clock tick. */
    void tick(List<Member> members, boolean isRunner) {
        long nowMs = context.clock().nowMs();
        Stream<NodeId> notEnded = members.stream()
                .filter(m -> m.state().liveness() != Liveness.DEAD)
                .map(Member::id);
        pacer.setMembers(nowMs, notEnded.toList(), majority);
        pacer.setRunner(nowMs, isRunner);
        pacer.setWallClock(nowMs, context.wallClock().getAsLong());
        coldEndpoints = pacer.coldEndpoints(nowMs);
        heldBack = pacer.heldBack();
        logNewlyCold();
    }

    private void logNewlyCold() {
        for (ColdEndpoint cold : pacer.takeNewlyCold()) {
            LOG.atInfo()
                    .with(LogFields.ENDPOINT, cold.id().value())
                    .log("endpoint counts as cold for %d ms: %s", cold.forMs(), cold.reason());
        }
    }
}

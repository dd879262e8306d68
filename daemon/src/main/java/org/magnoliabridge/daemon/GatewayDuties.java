package org.magnoliabridge.daemon;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.magnoliabridge.batch.BatchHead;
import org.magnoliabridge.batch.RemainingWork;
import org.magnoliabridge.core.SuspensionDetector;
import org.magnoliabridge.evacuation.Evacuations;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.external.ObjectWatch;
import org.magnoliabridge.external.StoreRequest.Priority;
import org.magnoliabridge.fleet.FleetEndpoint;
import org.magnoliabridge.gateway.GatewayConfig;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.ModelId;
import org.magnoliabridge.ids.WeightVersion;
import org.magnoliabridge.lease.LeaseCore;
import org.magnoliabridge.lease.LeaseSettings;
import org.magnoliabridge.orders.TotalsCore;
import org.magnoliabridge.orders.WeightsCore;
import org.magnoliabridge.orders.WeightsSettings;
import org.magnoliabridge.usage.UsageCore;
import org.magnoliabridge.usage.UsageTimes;

/**
 * The duties that one node at a time performs under one lease: weight rollout, the number of endpoints, usage reports
 * and the retirement of instances.
 *
 * <p>The node that runs the batches is the only candidate, because the weights to load depend on the open batches.
 */
final class GatewayDuties implements AutoCloseable {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final ObjectWatch.Times WATCH = new ObjectWatch.Times(3_000, 20, 500);
    // Divisors of the lease duration. Three renewals fit in before the margin. The takeover wait is at least the time
    // limit of a call, so that a holder's last call has ended before the next holder's first one.
    private static final int RENEWALS_PER_LEASE = 3;
    private static final int MARGIN_DIVISOR = 4;
    private static final int TAKEOVER_DIVISOR = 7;
    private static final long RETRY_MS = 150;

    private final GatewayContext context;
    private final LeaseDriver lease;
    private final WeightRollout weights;
    private final UsageDriver usage;
    private final FleetSizing sizing;
    private Optional<List<ObjectWatch>> watches = Optional.empty();

    GatewayDuties(GatewayContext context, GatewayCluster cluster, KnownWeights known) {
        this.context = context;
        GatewaySettings settings = context.settings();
        lease = new LeaseDriver(
                "duties",
                new LeaseCore(
                        new ObjectKey("leases/duties"),
                        settings.nodeId(),
                        context.joined().incarnation(),
                        leaseSettings(
                                settings.bounds().leaseMs(), context.platform().orderLimitMs()),
                        context.clock().nowMs()),
                context.loop(),
                context.clock(),
                new SuspensionDetector(context.clock(), context.wallClock()),
                context.store(),
                context.metrics());
        weights = new WeightRollout(
                context,
                new WeightsCore(
                        WeightsSettings.withoutPermits(), context.clock().nowMs()),
                lease,
                context.platform().engineOrders(),
                context.platform().engineReports(),
                known);
        sizing = new FleetSizing(
                context, new TotalsCore(), lease, context.platform().endpointTotals());
        UsageTimes times = UsageTimes.withDueTime(
                settings.bounds().usageWindowMs(), settings.bounds().usageDueMs());
        usage = new UsageDriver(
                settings.nodeId(),
                new UsageCore(settings.nodeId(), context.joined().incarnation(), times),
                context.platform().usageReports(),
                cluster.membership(),
                lease,
                context.store(),
                context.loop(),
                context.clock(),
                context.wallClock(),
                context.metrics());
        usage.start();
    }

    UsageDriver usage() {
        return usage;
    }

    /** Returns the newest published weights; only a candidate or holder updates them. Control thread only. */
    Map<ModelId, WeightVersion> newestWeights() {
        return weights.newest();
    }

    /** Returns the models whose weights an engine is loading at this node's order; control thread only. */
    Set<ModelId> loadingModels(EndpointId engine) {
        return weights.loadingModels(engine);
    }

    /** Updates the endpoints of the fleet; those in evacuated data centres get no orders. Control thread only. */
    void fleetChanged(List<FleetEndpoint> fleet, Evacuations evacuations) {
        weights.fleetChanged(fleet.stream()
                .filter(e -> evacuations.allows(e.endpoint().dataCentre()))
                .toList());
        sizing.fleetChanged(fleet, evacuations);
    }

    /**
     * Handles a clock tick for the lease and the duties; called several times a second, control thread only.
     *
     * @param candidate whether this node may hold the duties
     * @param batches the open batches
     * @param config the configuration in force, if one is known
     * @param demand what the open items still need
     */
    void tick(boolean candidate, List<BatchHead> batches, Optional<GatewayConfig> config, RemainingWork demand) {
        lease.tick(candidate);
        updateWatches(candidate || lease.view().held());
        for (BatchHead batch : batches) {
            if (batch.model().isPresent() && batch.minVersion().isPresent()) {
                ModelId model = batch.model().get();
                weights.setAllowedLag(model, batch.minVersion().get());
            }
        }
        if (candidate) {
            weights.setDemand(demand.byModel());
        }
        weights.tick();
        config.ifPresent(sizing::applyConfiguration);
        demand.byService().forEach(sizing::setDemand);
        sizing.tick();
    }

    /** Releases the duties lease and hands over the usage counts; any thread may call. */
    CompletableFuture<Void> handOver() {
        CompletableFuture<Void> leaseReleased = new CompletableFuture<>();
        context.loop().post(() -> {
            CompletableFuture<Void> unused =
                    lease.release().whenComplete((done, failure) -> leaseReleased.complete(null));
        });
        return CompletableFuture.allOf(usage.handOver(), leaseReleased);
    }

    @Override
    public void close() {
        watches.ifPresent(all -> all.forEach(ObjectWatch::close));
    }

    private void updateWatches(boolean needed) {
        if (needed && watches.isEmpty()) {
            watches = Optional.of(List.of(
                    watch(context.platform().weightsPrefix(), weights),
                    watch(
                            context.platform().retirementsPrefix(),
                            new RetirementHandler(context.platform(), lease, context.loop(), context.clock()))));
            LOG.atInfo().log("this node is a candidate for the duties lease");
        } else if (!needed && watches.isPresent()) {
            close();
            watches = Optional.empty();
        }
    }

    private ObjectWatch watch(String prefix, ObjectWatch.Listener listener) {
        return new ObjectWatch(
                context.budget().at(Priority.DECISION),
                prefix,
                WATCH,
                listener,
                new Random(context.random().nextLong()));
    }

    static LeaseSettings leaseSettings(long leaseMs, long orderLimitMs) {
        return new LeaseSettings(
                leaseMs,
                leaseMs / RENEWALS_PER_LEASE,
                leaseMs / MARGIN_DIVISOR,
                Math.max(leaseMs / TAKEOVER_DIVISOR, orderLimitMs),
                RETRY_MS);
    }
}

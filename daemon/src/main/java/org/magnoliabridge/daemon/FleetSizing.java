package org.magnoliabridge.daemon;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.magnoliabridge.evacuation.Evacuations;
import org.magnoliabridge.external.EndpointOrder.Kind;
import org.magnoliabridge.external.EndpointTotals;
import org.magnoliabridge.external.EndpointTotals.Place;
import org.magnoliabridge.fleet.FleetEndpoint;
import org.magnoliabridge.gateway.GatewayConfig;
import org.magnoliabridge.gateway.GatewayService;
import org.magnoliabridge.gateway.ScalingLimits;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.orders.CapacityPlan;
import org.magnoliabridge.orders.OrderOutcome;
import org.magnoliabridge.orders.OrderSender;
import org.magnoliabridge.orders.TotalsCore;
import org.magnoliabridge.orders.TotalsEffect;
import org.magnoliabridge.orders.TotalsInput;
import org.magnoliabridge.orders.TotalsPlan;
import org.magnoliabridge.telemetry.LogFields;

/**
 * Orders the number of endpoints of each service while this node holds the duties lease; the core runs on the control
 * thread.
 */
final class FleetSizing {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    // Target time to run the items of all open batches: two thirds of the 7.5 s in which a step is due, because the
    // longest items of a step run alone at its end.
    private static final double COMPLETION_TARGET_MS = 5_000;
    // No extra headroom: the core keeps a fleet of up to twice the demand, which is the reserve for failing engines.
    private static final double HEADROOM = 1;

    private final GatewayContext context;
    private final TotalsCore core;
    private final LeaseDriver lease;
    private final OrderSender sender;
    private final EndpointTotals totals;
    // Used on the control thread only.
    private final Map<ServiceId, Integer> slots = new HashMap<>();
    private final Map<ServiceId, Set<DataCentre>> dataCentres = new HashMap<>();

    FleetSizing(GatewayContext context, TotalsCore core, LeaseDriver lease, EndpointTotals totals) {
        this.context = context;
        this.core = core;
        this.lease = lease;
        this.sender = new OrderSender(lease.gate());
        this.totals = totals;
    }

    /** Updates the endpoints of the fleet; control thread only. */
    void fleetChanged(List<FleetEndpoint> fleet, Evacuations evacuations) {
        Map<Place, Integer> serving = new HashMap<>();
        List<Place> reclaimed = new ArrayList<>();
        for (FleetEndpoint e : fleet) {
            ServiceId service = e.endpoint().service();
            Kind kind = e.reclaimable() ? Kind.RECLAIMABLE : Kind.STANDARD;
            Place place = new Place(service, e.endpoint().dataCentre(), kind);
            slots.merge(service, e.slots(), Math::max);
            dataCentres.computeIfAbsent(service, s -> new HashSet<>()).add(place.dc());
            if (!e.draining()) {
                serving.merge(place, 1, Integer::sum);
            } else if (e.shutdownInMs().isPresent()) {
                reclaimed.add(place);
            }
        }
        handle(new TotalsInput.Fleet(serving, reclaimed, evacuations.dataCentres()));
    }

    /** Updates the scaling limits of the services; control thread only. */
    void applyConfiguration(GatewayConfig config) {
        List<TotalsPlan> plans = new ArrayList<>();
        for (GatewayService service : config.services().values()) {
            Set<DataCentre> places = dataCentres.getOrDefault(service.id(), Set.of());
            if (service.scaling().isPresent() && !places.isEmpty()) {
                plans.add(plan(service.id(), service.scaling().get(), places));
            }
        }
        handle(new TotalsInput.Plans(plans));
    }

    /**
     * Updates the demand for a service's engines; control thread only.
     *
     * @param slotMs slot time that the open items still need, in milliseconds
     */
    void setDemand(ServiceId service, double slotMs) {
        handle(new TotalsInput.Demand(service, slotMs));
    }

    /** Handles a clock tick; control thread only. */
    void tick() {
        handle(new TotalsInput.Tick());
    }

    private TotalsPlan plan(ServiceId service, ScalingLimits limits, Set<DataCentre> places) {
        List<DataCentre> byPrice = places.stream()
                .sorted(Comparator.comparingDouble(
                                (DataCentre dc) -> limits.prices().getOrDefault(dc, 1.0))
                        .thenComparing(DataCentre::value))
                .toList();
        CapacityPlan capacity = new CapacityPlan(
                service,
                true,
                byPrice,
                slots.get(service) * COMPLETION_TARGET_MS,
                HEADROOM,
                limits.startMs(),
                1,
                limits.reclaimablePriceRatio(),
                limits.min() * byPrice.size(),
                limits.max() * byPrice.size());
        return new TotalsPlan(capacity, limits.max());
    }

    private void handle(TotalsInput input) {
        for (TotalsEffect effect : core.on(context.clock().nowMs(), lease.view(), input)) {
            switch (effect) {
                case TotalsEffect.Send send ->
                    Thread.ofVirtual().name("total-order").start(() -> {
                        OrderOutcome outcome =
                                sender.send(send.fencing(), permit -> totals.order(send.total(), permit));
                        context.loop().post(() -> onSent(send, outcome));
                    });
            }
        }
    }

    private void onSent(TotalsEffect.Send send, OrderOutcome outcome) {
        Place place = send.total().place();
        LOG.atInfo()
                .with(LogFields.SERVICE, place.service().value())
                .with(LogFields.COUNT, (long) send.total().endpoints())
                .with(LogFields.FENCING, send.fencing().value())
                .log("order of %s endpoints in %s, %d serving: %s", place.kind(), place.dc(), send.serving(), outcome);
        context.metrics().counter("totals.orders." + outcome).inc();
        handle(new TotalsInput.Sent(send.total(), outcome));
    }
}

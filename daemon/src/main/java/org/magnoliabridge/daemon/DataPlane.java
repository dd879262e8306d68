package org.magnoliabridge.daemon;

import com.google.common.flogger.FluentLogger;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import org.magnoliabridge.addresses.AddressBook;
import org.magnoliabridge.bundle.Bundle;
import org.magnoliabridge.bundle.ConfigSnapshot;
import org.magnoliabridge.bundle.Service;
import org.magnoliabridge.bundle.Team;
import org.magnoliabridge.calls.CallDependencies;
import org.magnoliabridge.calls.CallLimits;
import org.magnoliabridge.calls.CallMetrics;
import org.magnoliabridge.calls.EngineAdapter;
import org.magnoliabridge.calls.GenerationCaller;
import org.magnoliabridge.calls.GracePeriod;
import org.magnoliabridge.calls.HttpEngineAdapter;
import org.magnoliabridge.calls.PlainCaller;
import org.magnoliabridge.calls.PlainServiceAdapter;
import org.magnoliabridge.calls.RetryBudget;
import org.magnoliabridge.calls.Spans;
import org.magnoliabridge.core.Closer;
import org.magnoliabridge.edge.AddressSource;
import org.magnoliabridge.edge.CallerServer;
import org.magnoliabridge.edge.EdgeDependencies;
import org.magnoliabridge.edge.UsageSink;
import org.magnoliabridge.external.HttpInstanceList;
import org.magnoliabridge.external.HttpScoringService;
import org.magnoliabridge.http.HttpLimits;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.InvalidIdException;
import org.magnoliabridge.ids.RequestId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.ids.WeightVersion;
import org.magnoliabridge.ledger.LedgerCore;
import org.magnoliabridge.membership.Item;
import org.magnoliabridge.membership.MembershipInput;
import org.magnoliabridge.memory.SharedMemory;
import org.magnoliabridge.rollout.DeliveryCore;
import org.magnoliabridge.rollout.RunnerCore;
import org.magnoliabridge.rollout.RunnerInput;
import org.magnoliabridge.rollout.RunnerLimits;
import org.magnoliabridge.routing.AdmissionCore;
import org.magnoliabridge.routing.AdmissionInput;
import org.magnoliabridge.routing.Dispatcher;
import org.magnoliabridge.routing.Endpoint;
import org.magnoliabridge.routing.EndpointInput;
import org.magnoliabridge.routing.LoadPoller;
import org.magnoliabridge.routing.RoutingSettings;
import org.magnoliabridge.routing.TeamPolicy;
import org.magnoliabridge.settings.SocketAddresses;
import org.magnoliabridge.wire.FrameType;

/** Routing, calls, the ledger, rollouts and the caller-facing server of a node. */
final class DataPlane {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final String LEAVING_PREFIX = "leaving.";
    private static final int LEDGER_SHARDS = 64;
    private static final long CORE_TICK_MS = 100;
    private static final long VERSION_REPORT_PERIOD_MS = 1_000;
    private static final long CACHE_BYTES = 8L << 20;
    private static final RunnerLimits RUNNER_LIMITS = new RunnerLimits(64, 8L << 20);
    private static final HttpLimits PROBE_LIMITS = HttpLimits.total(1_000);
    private static final HttpLimits SCORE_LIMITS = HttpLimits.total(5_000);
    private static final HttpLimits LIST_LIMITS = HttpLimits.total(2_000);

    private final NodeContext context;
    private final ControlPlane control;
    private final AdmissionCore admission;
    private final Dispatcher dispatcher;
    private final EngineAdapter engines;
    private final LedgerDriver ledger;
    private final RunnerDriver runner;
    private final DeliveryDriver delivery;
    private final CallerServer server;
    private final VersionPeriodEstimator versions = new VersionPeriodEstimator();
    private final AtomicLong lastRequest = new AtomicLong();
    private final GracePeriod grace = new GracePeriod();

    /** Starts to serve callers. */
    DataPlane(NodeContext context, ControlPlane control, Spans spans, UsageSink usage, Closer closer) {
        this.context = context;
        this.control = control;
        NodeSettings settings = context.settings();
        Executor background = task -> Thread.ofVirtual().name("background").start(task);
        admission = new AdmissionCore(
                new RoutingSettings(settings.dataCentre(), RoutingSettings.DEFAULT_MAX_QUEUED), context.random());
        dispatcher = closer.register(
                new Dispatcher(admission, context.loop(), context.clock(), context.metrics(), this::announceLeaving));
        engines = new HttpEngineAdapter(context.http(), PROBE_LIMITS);
        CallDependencies dependencies = new CallDependencies(
                dispatcher,
                new RetryBudget(),
                CallLimits.DEFAULT,
                context.clock(),
                this::nextRequestId,
                background,
                new CallMetrics(context.metrics()),
                spans,
                grace);
        GenerationCaller generations = new GenerationCaller(engines, dependencies);
        PlainCaller plain = new PlainCaller(new PlainServiceAdapter(context.http()), dependencies);
        ledger = ledger(plain);
        runner = runner(generations);
        delivery = new DeliveryDriver(
                new DeliveryCore(settings.nodeId(), context.incarnation(), CACHE_BYTES),
                context.loop(),
                context.clock(),
                context.wallClock(),
                context.store(),
                runner::sendNudge,
                usage);
        EdgeDependencies edge = new EdgeDependencies(
                control.configuration()::snapshot,
                generations,
                plain,
                ledger,
                delivery,
                this::addresses,
                usage,
                closer.register(SharedMemory.ofHeap(context.clock(), context.metrics())),
                this::nextRequestId,
                context.clock(),
                context.metrics(),
                spans);
        server = closer.register(new CallerServer(edge, settings.listen().callers()));
        closer.register(new InstancesDriver(
                new HttpInstanceList(context.http(), settings.platform().instances(), LIST_LIMITS),
                dispatcher,
                control.membership(),
                context.loop(),
                context.metrics()));
        closer.register(new LoadPoller(
                context.loop(), this::modelServices, admission, dispatcher, engines, context.random(), background));
        connect();
    }

    /** Returns which calls are still sent to plain services while the node shuts down. */
    GracePeriod grace() {
        return grace;
    }

    CallerServer server() {
        return server;
    }

    AdmissionCore admission() {
        return admission;
    }

    Dispatcher dispatcher() {
        return dispatcher;
    }

    EngineAdapter engines() {
        return engines;
    }

    /** Returns the routable endpoints of each model service; control thread only. */
    Map<Service, List<Endpoint>> modelEndpoints() {
        Map<Service, List<Endpoint>> all = new LinkedHashMap<>();
        control.configuration()
                .snapshot()
                .bundle()
                .ifPresent(bundle -> bundle.services().stream()
                        .filter(s -> s.kind() == Service.Kind.MODEL)
                        .forEach(s -> all.put(s, admission.eligibleEndpoints(s.id()))));
        return all;
    }

    private LedgerDriver ledger(PlainCaller plain) {
        return new LedgerDriver(
                new LedgerCore(context.settings().nodeId(), context.incarnation(), LEDGER_SHARDS),
                plain,
                context.loop(),
                context.clock(),
                context.wallClock(),
                context.store(),
                context.metrics());
    }

    private RunnerDriver runner(GenerationCaller generations) {
        NodeSettings settings = context.settings();
        return new RunnerDriver(
                settings.nodeId(),
                new RunnerCore(settings.nodeId(), context.incarnation(), RUNNER_LIMITS),
                generations,
                new HttpScoringService(context.http(), settings.platform().scoring(), SCORE_LIMITS),
                control.membership(),
                context.loop(),
                context.clock(),
                context.wallClock(),
                context.store(),
                context.metrics());
    }

    private void connect() {
        control.configuration().onChange(this::applyConfiguration);
        control.membership().addListener(new LeavingFromPeers());
        control.membership().onFrame(FrameType.STEP_NUDGE, runner::nudgeReceived);
        context.loop().postPeriodically(CORE_TICK_MS, () -> {
            ledger.tick();
            delivery.tick();
            runner.handle(new RunnerInput.Tick());
        });
        context.loop().postPeriodically(VERSION_REPORT_PERIOD_MS, this::reportVersions);
        new RateShareDriver(context, control.membership(), admission, dispatcher).start();
    }

    private void applyConfiguration(ConfigSnapshot config) {
        server.activeCalls().cancelWithInactiveKey(config.keys());
        config.bundle().ifPresent(bundle -> dispatcher.post(policies(bundle)));
    }

    private static AdmissionInput policies(Bundle bundle) {
        Map<TeamId, TeamPolicy> teams = new HashMap<>();
        for (Team team : bundle.teams()) {
            teams.put(team.id(), new TeamPolicy(team.weight(), team.tokensPerSecond()));
        }
        return new AdmissionInput.Policies(teams, bundle.bounds().engineSlots());
    }

    private void announceLeaving(Endpoint endpoint) {
        LOG.atInfo().log("endpoint %s is leaving", endpoint.id());
        Item item = new Item(
                LEAVING_PREFIX + endpoint.id(),
                context.wallClock().getAsLong(),
                endpoint.address().getBytes(StandardCharsets.UTF_8));
        control.membership().handle(new MembershipInput.ItemAccepted(item));
    }

    private List<ServiceId> modelServices() {
        return modelEndpoints().keySet().stream().map(Service::id).toList();
    }

    private void reportVersions() {
        long nowMs = context.clock().nowMs();
        for (ServiceId service : modelServices()) {
            Optional<WeightVersion> newest = admission.newestVersion(service);
            newest.ifPresent(version -> runner.handle(
                    new RunnerInput.Engines(service, version.value(), versions.periodMs(service, version, nowMs))));
        }
    }

    private RequestId nextRequestId() {
        return new RequestId(
                context.settings().nodeId() + "-" + context.incarnation() + "-" + lastRequest.incrementAndGet());
    }

    private AddressSource.Addresses addresses(Optional<DataCentre> near, String callerIp) {
        List<AddressSource.NodeAddress> chosen = new AddressBook(
                        control.membership().members())
                .addresses(callerIp, near).stream()
                        .map(e -> new AddressSource.NodeAddress(e.address(), e.dataCentre(), e.weight()))
                        .toList();
        return new AddressSource.Addresses(chosen, context.settings().limits().addressTtlMs());
    }

    /** Stops routing to endpoints that other members announce as leaving. */
    private final class LeavingFromPeers implements MembershipDriver.Listener {
        @Override
        public void delivered(Item item) {
            if (!item.name().startsWith(LEAVING_PREFIX)) {
                return;
            }
            String address = new String(item.payload(), StandardCharsets.UTF_8);
            try {
                EndpointId id = EndpointId.parse(item.name().substring(LEAVING_PREFIX.length()));
                if (SocketAddresses.parse(address).isPresent()) {
                    dispatcher.post(new AdmissionInput.Endpoints(new EndpointInput.LeavingAnnounced(id, address)));
                }
            } catch (InvalidIdException e) {
                context.metrics().counter("peers.malformed.leaving").inc();
            }
        }
    }
}

package org.magnoliabridge.daemon;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.magnoliabridge.addresses.AddressBook;
import org.magnoliabridge.batch.BatchCore;
import org.magnoliabridge.batch.BatchInput;
import org.magnoliabridge.batch.BatchTarget;
import org.magnoliabridge.batch.EngineState;
import org.magnoliabridge.batch.RunnerElection;
import org.magnoliabridge.batch.StoredBatches;
import org.magnoliabridge.calls.CallDependencies;
import org.magnoliabridge.calls.CallLimits;
import org.magnoliabridge.calls.CallMetrics;
import org.magnoliabridge.calls.EndpointSource;
import org.magnoliabridge.calls.GracePeriod;
import org.magnoliabridge.calls.PlainCaller;
import org.magnoliabridge.calls.RetryBudget;
import org.magnoliabridge.calls.StreamCaller;
import org.magnoliabridge.core.CloseFailedException;
import org.magnoliabridge.core.Closer;
import org.magnoliabridge.core.ControlLoop;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.edge.ActiveCalls;
import org.magnoliabridge.edge.DrainGate;
import org.magnoliabridge.external.Backoff;
import org.magnoliabridge.external.BudgetedStore;
import org.magnoliabridge.external.ObjectWatch;
import org.magnoliabridge.external.StoreRequest.Priority;
import org.magnoliabridge.external.StoreRouteSelector;
import org.magnoliabridge.external.StoreRunner;
import org.magnoliabridge.fleet.FleetEndpoint;
import org.magnoliabridge.gateway.AdmissionPolicy;
import org.magnoliabridge.gateway.CurrentPolicy;
import org.magnoliabridge.gateway.EngineLimits;
import org.magnoliabridge.gateway.GatewayConfig;
import org.magnoliabridge.gateway.GatewayRoute;
import org.magnoliabridge.gateway.GatewayService;
import org.magnoliabridge.gateway.RouteKind;
import org.magnoliabridge.gateway.RouteTable;
import org.magnoliabridge.http.HttpCaller;
import org.magnoliabridge.http.UndertowHttpCaller;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.RequestId;
import org.magnoliabridge.ids.RouteId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.memory.SharedMemory;
import org.magnoliabridge.routing.AdmissionCore;
import org.magnoliabridge.routing.Dispatcher;
import org.magnoliabridge.routing.Endpoint;
import org.magnoliabridge.routing.RoutingSettings;
import org.magnoliabridge.settings.SocketAddresses;
import org.magnoliabridge.telemetry.LogFields;
import org.magnoliabridge.telemetry.TracerSpans;
import org.magnoliabridge.telemetry.Tracing;

/**
 * One node of a deployment on a platform that stores the configuration, the endpoint list and all durable state.
 *
 * <pre>{@code
 * GatewayNode node = GatewayNode.start(settings, platforms);
 * ...
 * node.drain();
 * node.close();
 * }</pre>
 */
public final class GatewayNode implements AutoCloseable {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final long TICK_MS = 100;
    // Callers accept at most this many addresses in an answer of the directory.
    private static final int MAX_ADDRESSES = 64;
    // A dead connection is noticed when a poll does not end in time; a later change must be in force within 2 s of the
    // store's notification.
    private static final ObjectWatch.Times CONFIG_WATCH = new ObjectWatch.Times(3_000, 50, 500);
    // Leaving endpoints must receive no work later than 2 s after the store's notification. Endpoint heartbeats change
    // the list all the time, so the pause determines how often a node polls.
    private static final ObjectWatch.Times FLEET_WATCH = new ObjectWatch.Times(3_000, 700, 500);
    // Remaining grace period at which new requests are refused, and at which the process must have ended.
    private static final long REFUSE_BEFORE_END_MS = 2_500;
    private static final long END_BEFORE_KILL_MS = 800;
    // Time in which cancelled requests are answered.
    private static final long CANCEL_MS = 500;
    // Far above normal use; limits this node's share of the store's rate limits while the store is slow.
    private static final int STORE_CALLS = 32;
    // Long enough for a call that times out at the store and is then retried through another node.
    private static final long STORE_DEADLINE_MS = 1_600;

    private final GatewayContext context;
    private final Closer closer;
    private final CurrentPolicy policy = new CurrentPolicy();
    private final DrainGate gate = new DrainGate();
    private final GracePeriod grace = new GracePeriod();
    private final ActiveCalls calls = new ActiveCalls();
    private final WarmUpDriver warmUp;
    private final AdmissionCore admission;
    private final FleetDriver fleet;
    private final EvacuationDriver evacuations;
    private final NeighbourChoice neighbour;
    private final ConfigFollower config;
    private final GatewayCluster cluster;
    private final BatchScheduler scheduler;
    private final BatchRole role;
    private final KnownWeights weights = new KnownWeights();
    private final GatewayDuties duties;
    private final AtomicLong lastRequest = new AtomicLong();
    private volatile boolean draining;
    private volatile boolean ready;

    private GatewayNode(GatewayContext context, Closer closer) throws IOException {
        this.context = context;
        this.closer = closer;
        warmUp = new WarmUpDriver(context);
        admission = new AdmissionCore(
                new RoutingSettings(context.settings().dataCentre(), RoutingSettings.DEFAULT_MAX_QUEUED),
                context.random(),
                warmUp.pacer());
        Dispatcher dispatcher = closer.register(
                new Dispatcher(admission, context.loop(), context.clock(), context.metrics(), endpoint -> {}));
        context.platform().onLeaving((endpoint, address) -> endpointLeaves(dispatcher, endpoint, address));
        evacuations = new EvacuationDriver(context, dispatcher, warmUp::evacuationEnded);
        fleet = new FleetDriver(context, dispatcher, warmUp);
        neighbour = new NeighbourChoice(
                context.settings().nodeId(), context.settings().dataCentre());
        config = new ConfigFollower(context, policy);
        cluster = new GatewayCluster(context, closer);
        cluster.onMajority(warmUp::majority);
        context.objects()
                .setRelay(new StoreRelay(
                        context.settings().nodeId(),
                        cluster.membership(),
                        cluster.peers(),
                        new PeerStoreCalls(
                                context.platform().objects(),
                                context.clock(),
                                call -> Thread.ofVirtual().name("store-relay").start(call)),
                        context.path()));
        StoredBatches stored = new StoredBatches(context.budget().at(Priority.DECISION), context.clock());
        BatchCore core =
                new BatchCore(context.process().toString(), context.wallClock(), cluster::hasEnded, warmUp.pacer());
        scheduler = closer.register(new BatchScheduler(
                context, core, context.platform().engines(), context.platform().scorers(), dispatcher, stored));
        role = new BatchRole(
                context.settings().nodeId(),
                cluster.membership(),
                cluster.peers(),
                new RunnerElection(context.settings().nodeId(), context.clock().nowMs()),
                scheduler,
                context.clock());
        duties = closer.register(new GatewayDuties(context, cluster, weights));
        startServers(dispatcher, new ClusterBatchService(context, cluster.peers(), role, scheduler, stored));
        startWatches();
    }

    /**
     * Starts a node. Waits for the object store; the node is ready once it has the configuration and the endpoint list.
     *
     * @param platforms creates the platform adapter from the HTTP client that it is to use
     * @throws IOException if a port cannot be opened
     */
    public static GatewayNode start(GatewaySettings settings, Function<HttpCaller, GatewayPlatform> platforms)
            throws IOException, InterruptedException {
        Closer closer = new Closer();
        try {
            GatewayNode node = new GatewayNode(context(settings, platforms, closer), closer);
            LOG.atInfo().log("node started");
            return node;
        } catch (IOException | InterruptedException | RuntimeException e) {
            closeQuietly(closer, e);
            throw e;
        }
    }

    private static GatewayContext context(
            GatewaySettings settings, Function<HttpCaller, GatewayPlatform> platforms, Closer closer)
            throws InterruptedException {
        MetricRegistry metrics = new MetricRegistry();
        ControlLoop loop = closer.register(new ControlLoop("control"));
        MonotonicClock clock = MonotonicClock.system();
        SharedMemory memory = closer.register(SharedMemory.ofHeap(clock, metrics));
        HttpCaller http = closer.register(new UndertowHttpCaller(1, memory));
        GatewayPlatform platform = platforms.apply(http);
        StoreRouteSelector path = new StoreRouteSelector();
        RelayedStore objects = new RelayedStore(platform.objects(), path, clock);
        BudgetedStore budget = new BudgetedStore(objects, STORE_CALLS, STORE_DEADLINE_MS, metrics);
        Random random = new Random(new SecureRandom().nextLong());
        Backoff backoff = GatewayContext.newBackoff(new Random(random.nextLong()));
        NodeRegistry.Joined joined = new NodeRegistry(budget.at(Priority.DECISION), backoff)
                .join(
                        settings.nodeId(),
                        SocketAddresses.format(settings.listen().peers()));
        return new GatewayContext(
                settings,
                platform,
                clock,
                System::currentTimeMillis,
                random,
                metrics,
                memory,
                new TracerSpans(Tracing.disabled().tracer()),
                loop,
                objects,
                path,
                budget,
                new StoreRunner(budget, loop),
                joined);
    }

    private static void closeQuietly(Closer closer, Exception cause) {
        try {
            closer.close();
        } catch (CloseFailedException e) {
            cause.addSuppressed(e);
        }
    }

    /** Leaves the directory, hands over to other nodes and finishes open requests within the grace period. */
    public void drain() throws InterruptedException {
        GatewaySettings.Bounds bounds = context.settings().bounds();
        long nowMs = context.clock().nowMs();
        long endMs = nowMs + bounds.graceMs() - END_BEFORE_KILL_MS;
        grace.begin(nowMs, endMs);
        LOG.atInfo().log("drain begins");
        draining = true;
        ready = false;
        context.loop().post(() -> {
            role.resign();
            cluster.leave();
        });
        CompletableFuture<Void> handedOver = duties.handOver();
        Thread.sleep(Math.max(0, bounds.graceMs() - REFUSE_BEFORE_END_MS));
        gate.drain();
        int open = gate.awaitIdle(Math.max(1, endMs - context.clock().nowMs()));
        if (open > 0) {
            LOG.atSevere().with(LogFields.COUNT, (long) open).log("grace period is over; cancelling open requests");
            calls.cancelAll();
            int unanswered = gate.awaitIdle(CANCEL_MS);
            if (unanswered > 0) {
                LOG.atSevere().with(LogFields.COUNT, (long) unanswered).log("requests have no answer at the end");
            }
        }
        LOG.atInfo().log("drain ended, duties and counts handed over: %b", handedOver.isDone());
    }

    @Override
    public void close() throws CloseFailedException {
        closer.close();
    }

    private void startServers(Dispatcher dispatcher, BatchService batches) throws IOException {
        CallDependencies dependencies = new CallDependencies(
                dispatcher,
                new RetryBudget(),
                CallLimits.DEFAULT,
                context.clock(),
                this::nextRequestId,
                task -> Thread.ofVirtual().name("background").start(task),
                new CallMetrics(context.metrics()),
                context.spans(),
                grace);
        GatewayServices services = new GatewayServices(
                policy,
                new PlainCaller(context.platform().services(), dependencies),
                new StreamCaller(context.platform().services(), dependencies),
                batches,
                team -> duties.usage().requestStarted(team, context.wallClock().getAsLong()),
                gate,
                calls,
                () -> ready,
                this::addresses,
                context.settings().bounds().addressTtlMs(),
                this::nextRequestId,
                context.clock(),
                context.metrics(),
                context.memory());
        GatewayServers servers = closer.register(new GatewayServers(
                context.settings().listen(),
                context.platform().callers(services),
                context.platform().readiness(services),
                context.platform().directory(services),
                new MetricsPage(context.metrics()),
                ConnectionGuard.of(context.settings(), context.metrics())));
        config.onChange(newConfig -> servers.apply(newConfig.limits()));
    }

    private void startWatches() {
        config.onChange(warmUp::apply);
        config.onChange(this::applyRoutes);
        fleet.onChange(this::fleetChanged);
        NeighbourStores stores = new NeighbourStores(context, cluster.peers(), neighbour);
        closer.register(new ObjectWatch(
                stores.configuration(),
                context.platform().configPrefix(),
                CONFIG_WATCH,
                config,
                new Random(context.random().nextLong())));
        closer.register(new ObjectWatch(
                stores.fleet(),
                context.platform().fleetPrefix(),
                FLEET_WATCH,
                fleet,
                new Random(context.random().nextLong())));
        if (evacuations.isEnabled()) {
            long evacuateMs = context.settings().bounds().evacuateMs();
            closer.register(new ObjectWatch(
                    stores.evacuations(evacuateMs),
                    context.platform().evacuationsPrefix(),
                    EvacuationDriver.watchTimes(evacuateMs),
                    evacuations,
                    new Random(context.random().nextLong())));
        }
        ControlDelay delay = new ControlDelay(TICK_MS, context.metrics());
        context.loop().postPeriodically(TICK_MS, () -> {
            delay.started(context.clock().nowMs());
            try {
                tick();
            } finally {
                delay.ended(context.clock().nowMs());
            }
        });
    }

    private void endpointLeaves(Dispatcher dispatcher, EndpointId endpoint, InetSocketAddress address) {
        LOG.atInfo()
                .atMostEvery(1, TimeUnit.SECONDS)
                .with(LogFields.ENDPOINT, endpoint.value())
                .log("endpoint says that it is leaving");
        dispatcher.observed(endpoint, SocketAddresses.format(address), EndpointSource.Observation.DRAINING);
    }

    private void tick() {
        fleet.tick();
        evacuations.tick(fleet.endpoints());
        cluster.tick();
        if (!draining) {
            role.tick();
        }
        warmUp.tick(cluster.membership().members(), role.isSelf() && !draining);
        neighbour.update(role.runner(), cluster.membership().members());
        duties.tick(
                role.isSelf() && !draining,
                scheduler.open(),
                policy.get().map(AdmissionPolicy::config),
                scheduler.remainingWork());
        duties.newestWeights()
                .forEach((model, version) -> scheduler.handle(new BatchInput.NewestVersion(model, version)));
        scheduler.reportProgress();
        scheduler.handle(new BatchInput.Tick());
        boolean loaded = policy.get().isPresent() && fleet.isLoaded() && evacuations.isLoaded();
        if (loaded && !ready && !draining) {
            ready = true;
            LOG.atInfo().log("node is ready");
        }
        // Every observation can change which endpoints are eligible, without a change of the list.
        fleetChanged(fleet.endpoints());
    }

    private void applyRoutes(GatewayConfig newConfig) {
        Map<RouteId, BatchTarget> routes = new HashMap<>();
        for (GatewayRoute route : newConfig.routes()) {
            if (route.kind() == RouteKind.BATCH) {
                routes.put(route.id(), target(newConfig, route));
            }
        }
        scheduler.handle(new BatchInput.Routes(newConfig.version(), routes, new RouteTable(newConfig.routes())));
    }

    private static BatchTarget target(GatewayConfig config, GatewayRoute route) {
        ServiceId service = route.services().getFirst().service();
        Optional<EngineLimits> engine =
                Optional.ofNullable(config.services().get(service)).flatMap(GatewayService::engine);
        return new BatchTarget(
                service,
                engine.map(EngineLimits::tokensPerEvent).orElse(1),
                engine.map(EngineLimits::cacheTokens).orElse(Long.MAX_VALUE));
    }

    private void fleetChanged(List<FleetEndpoint> endpoints) {
        Map<ServiceId, Set<EndpointId>> eligible = new HashMap<>();
        List<EngineState> engines = endpoints.stream()
                .filter(e -> eligible.computeIfAbsent(e.endpoint().service(), this::eligibleEndpoints)
                        .contains(e.endpoint().id()))
                .map(e -> new EngineState(
                        e.endpoint(),
                        e.slots(),
                        weights.of(e),
                        admission.takenOutFor(e.endpoint().id()),
                        duties.loadingModels(e.endpoint().id())))
                .toList();
        Set<EndpointId> evacuated = endpoints.stream()
                .map(FleetEndpoint::endpoint)
                .filter(e -> !evacuations.current().allows(e.dataCentre()))
                .map(Endpoint::id)
                .collect(Collectors.toSet());
        scheduler.handle(new BatchInput.Engines(engines, evacuated));
        duties.fleetChanged(endpoints, evacuations.current());
    }

    private Set<EndpointId> eligibleEndpoints(ServiceId service) {
        return admission.eligibleEndpoints(service).stream().map(Endpoint::id).collect(Collectors.toSet());
    }

    private List<String> addresses(String callerIp, Optional<DataCentre> near) {
        return new AddressBook(cluster.membership().members())
                .addresses(callerIp, near, MAX_ADDRESSES).stream()
                        .map(AddressBook.Entry::address)
                        .toList();
    }

    private RequestId nextRequestId() {
        return new RequestId(context.process() + "-" + lastRequest.incrementAndGet());
    }
}

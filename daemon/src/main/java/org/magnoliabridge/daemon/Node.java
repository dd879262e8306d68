package org.magnoliabridge.daemon;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.magnoliabridge.core.CloseFailedException;
import org.magnoliabridge.core.Closer;
import org.magnoliabridge.core.ControlLoop;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.edge.OperatorServer;
import org.magnoliabridge.external.BudgetedStore;
import org.magnoliabridge.external.HttpEndpointOrders;
import org.magnoliabridge.external.HttpEngineOrders;
import org.magnoliabridge.external.HttpObjectStore;
import org.magnoliabridge.external.HttpUsageReports;
import org.magnoliabridge.external.HttpWeightStore;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.external.StoreRunner;
import org.magnoliabridge.http.HttpCaller;
import org.magnoliabridge.http.HttpLimits;
import org.magnoliabridge.http.UndertowHttpCaller;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.membership.MembershipInput;
import org.magnoliabridge.orders.OrdersCore;
import org.magnoliabridge.orders.OrdersInput;
import org.magnoliabridge.orders.OrdersSettings;
import org.magnoliabridge.orders.WeightsCore;
import org.magnoliabridge.orders.WeightsSettings;
import org.magnoliabridge.telemetry.LogFields;
import org.magnoliabridge.telemetry.TracerSpans;
import org.magnoliabridge.telemetry.Tracing;
import org.magnoliabridge.usage.UsageCore;
import org.magnoliabridge.usage.UsageTimes;

/**
 * One node of the system.
 *
 * <pre>{@code
 * Node node = Node.start(settings);
 * ...
 * node.drain();
 * node.close();
 * }</pre>
 */
public final class Node implements AutoCloseable {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int CLIENT_IO_THREADS = 2;
    private static final int MAX_STORE_CALLS = 32;
    private static final long STORE_TIMEOUT_MS = 2_000;
    private static final long ORDER_TICK_MS = 200;
    private static final long STATUS_PERIOD_MS = 1_000;
    // A slower poll of the engines that load weights would exceed 16 s for a roll-out over 600 engines.
    private static final long WEIGHTS_POLL_MS = 250;
    private static final HttpLimits REPORT_LIMITS = HttpLimits.total(2_000);
    private static final long HANDOVER_TIMEOUT_MS = 3_000;
    // At this rate the weight store serves 600 samplers within 16 s; it refuses requests above its own rate.
    private static final WeightsSettings WEIGHTS = WeightsSettings.forRate(60, 20);

    private final Closer closer;
    private final NodeContext context;
    private final ControlPlane control;
    private final DataPlane data;
    private final UsageDriver usage;

    private Node(NodeSettings settings, Closer closer) throws IOException {
        this.closer = closer;
        Tracing tracing = closer.register(tracing(settings));
        context = context(settings, closer);
        control = new ControlPlane(context, closer);
        usage = usage(settings);
        data = new DataPlane(context, control, new TracerSpans(tracing.tracer()), usage, closer);
        StatusPages pages = new StatusPages(context, control, data);
        closer.register(new OperatorServer(
                settings.listen().operators(),
                context.metrics(),
                Map.of("/admin/status", pages::status, "/admin/endpoints", pages::endpoints)));
        startOrders(settings);
        startWeights(settings);
        context.loop().postPeriodically(STATUS_PERIOD_MS, pages::refresh);
        usage.start();
        control.start();
    }

    /**
     * Starts a node; it serves keyed routes once a peer or the platform has given it the configuration.
     *
     * @throws IOException if a port cannot be opened
     */
    public static Node start(NodeSettings settings) throws IOException {
        Closer closer = new Closer();
        try {
            Node node = new Node(settings, closer);
            LOG.atInfo().log("node started");
            return node;
        } catch (IOException | RuntimeException e) {
            closeQuietly(closer, e);
            throw e;
        }
    }

    /**
     * Drains this node: removes it from the address list, accepts requests until the address lists cached by callers
     * have expired, then waits for open requests, hands over usage counts and releases the leases.
     */
    public void drain() throws InterruptedException {
        NodeSettings.Limits limits = context.settings().limits();
        long nowMs = context.clock().nowMs();
        long endMs = nowMs + limits.drainMs();
        data.grace().begin(nowMs, endMs);
        LOG.atInfo().log("drain begins");
        context.loop().post(() -> control.membership().handle(new MembershipInput.Leave()));
        Thread.sleep(Math.min(limits.addressTtlMs(), limits.drainMs()));
        data.server().gate().drain();
        long leftMs = Math.max(1, endMs - context.clock().nowMs());
        int open = data.server().gate().awaitIdle(leftMs);
        if (open > 0) {
            LOG.atSevere()
                    .with(LogFields.COUNT, (long) open)
                    .log("drain time limit reached; cancelling the open requests");
            data.server().activeCalls().cancelAll();
        }
        await(usage.handOver());
        await(releaseLeases());
        LOG.atInfo().log("drain ended");
    }

    @Override
    public void close() throws CloseFailedException {
        closer.close();
    }

    private CompletableFuture<Void> releaseLeases() {
        CompletableFuture<Void> all = new CompletableFuture<>();
        context.loop().post(() -> {
            CompletableFuture<?>[] each =
                    control.leases().stream().map(LeaseDriver::release).toArray(CompletableFuture<?>[]::new);
            CompletableFuture<Void> unused =
                    CompletableFuture.allOf(each).whenComplete((nothing, failure) -> all.complete(null));
        });
        return all;
    }

    private static void await(CompletableFuture<Void> done) throws InterruptedException {
        try {
            done.get(HANDOVER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            LOG.atWarning().withCause(e).log("handover did not complete");
        }
    }

    private UsageDriver usage(NodeSettings settings) {
        UsageTimes times = UsageTimes.withoutDueTime(settings.limits().usageWindowMs());
        return new UsageDriver(
                settings.nodeId(),
                new UsageCore(settings.nodeId(), context.incarnation(), times),
                new HttpUsageReports(context.http(), settings.platform().usage(), REPORT_LIMITS),
                control.membership(),
                control.addScope("usage"),
                context.store(),
                context.loop(),
                context.clock(),
                context.wallClock(),
                context.metrics());
    }

    private void startOrders(NodeSettings settings) {
        String scope = "orders-" + settings.region();
        HttpEndpointOrders orders = new HttpEndpointOrders(
                context.http(),
                settings.platform().orders(),
                HttpLimits.total(OrdersSettings.DEFAULT.sendDeadlineMs()));
        OrdersDriver driver = new OrdersDriver(
                new OrdersCore(
                        new ObjectKey("orders/" + settings.region()),
                        settings.nodeId() + "-" + context.incarnation(),
                        OrdersSettings.DEFAULT),
                control.addScope(scope),
                orders,
                context.loop(),
                context.clock(),
                context.store(),
                context.metrics(),
                endpoint -> LOG.atWarning()
                        .with(LogFields.ENDPOINT, endpoint.value())
                        .log("platform refused an endpoint order"));
        context.loop().postPeriodically(ORDER_TICK_MS, () -> driver.handle(new OrdersInput.Tick()));
    }

    private void startWeights(NodeSettings settings) {
        HttpLimits limits = HttpLimits.total(OrdersSettings.DEFAULT.sendDeadlineMs());
        WeightsDriver driver = new WeightsDriver(
                new WeightsCore(WEIGHTS, context.clock().nowMs()),
                control.addScope("weights"),
                new HttpWeightStore(context.http(), settings.platform().weights(), limits),
                new HttpEngineOrders(context.http(), limits),
                data.engines(),
                data.dispatcher(),
                context.loop(),
                context.clock(),
                context.metrics());
        context.loop().postPeriodically(ORDER_TICK_MS, driver::tick);
        context.loop().postPeriodically(WEIGHTS_POLL_MS, () -> driver.poll(data.modelEndpoints()));
    }

    private static NodeContext context(NodeSettings settings, Closer closer) {
        MetricRegistry metrics = new MetricRegistry();
        ControlLoop loop = closer.register(new ControlLoop("control"));
        HttpCaller http = closer.register(new UndertowHttpCaller(CLIENT_IO_THREADS));
        BudgetedStore budget = new BudgetedStore(
                new HttpObjectStore(http, settings.platform().objects(), HttpLimits.total(STORE_TIMEOUT_MS)),
                MAX_STORE_CALLS,
                STORE_TIMEOUT_MS,
                metrics);
        return new NodeContext(
                settings,
                new Incarnation(System.currentTimeMillis()),
                MonotonicClock.system(),
                System::currentTimeMillis,
                new Random(new SecureRandom().nextLong()),
                metrics,
                loop,
                http,
                budget,
                new StoreRunner(budget, loop));
    }

    private static Tracing tracing(NodeSettings settings) throws IOException {
        NodeSettings.Telemetry telemetry = settings.telemetry();
        return telemetry.spansFile().isEmpty()
                ? Tracing.disabled()
                : Tracing.toFile(
                        settings.nodeId().value(), telemetry.spansFile().get(), telemetry.spanSampleRatio());
    }

    private static void closeQuietly(Closer closer, Exception cause) {
        try {
            closer.close();
        } catch (CloseFailedException e) {
            cause.addSuppressed(e);
        }
    }
}

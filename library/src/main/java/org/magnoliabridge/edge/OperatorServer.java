package org.magnoliabridge.edge;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** The HTTP server for operators, on a separate port: {@code /metrics} and the given pages, all JSON. */
public final class OperatorServer implements AutoCloseable {
    private static final JsonMapper JSON = new JsonMapper();
    private static final double NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

    private final Undertow undertow;
    private final MetricRegistry metrics;
    private final Map<String, Supplier<JsonNode>> pages;

    /**
     * Starts the server on an address; port 0 lets the system choose a port.
     *
     * @param pages each page by its path, for example {@code /status}; called on an I/O thread, so they must not block
     */
    public OperatorServer(InetSocketAddress listen, MetricRegistry metrics, Map<String, Supplier<JsonNode>> pages) {
        this.metrics = metrics;
        this.pages = Map.copyOf(pages);
        undertow = Undertow.builder()
                .addHttpListener(listen.getPort(), listen.getAddress().getHostAddress())
                .setIoThreads(1)
                .setWorkerThreads(1)
                .setHandler(new UnreadBodies(new AnswerFraming(this::handle)))
                .build();
        undertow.start();
    }

    /** Returns the address that the server listens on. */
    public InetSocketAddress address() {
        return (InetSocketAddress) undertow.getListenerInfo().getFirst().getAddress();
    }

    @Override
    public void close() {
        undertow.stop();
    }

    private void handle(HttpServerExchange exchange) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, Reply.JSON_TYPE);
        Supplier<JsonNode> page =
                exchange.getRequestPath().equals("/metrics") ? this::metrics : pages.get(exchange.getRequestPath());
        if (page == null || !exchange.getRequestMethod().equals(Methods.GET)) {
            exchange.setStatusCode(404).getResponseSender().send("{\"error\":\"not_found\"}");
        } else {
            exchange.getResponseSender().send(page.get().toString());
        }
    }

    private ObjectNode metrics() {
        ObjectNode root = JSON.createObjectNode();
        metrics.getCounters().forEach((name, counter) -> root.put(name, counter.getCount()));
        metrics.getGauges().forEach((name, gauge) -> put(root, name, gauge));
        metrics.getMeters().forEach((name, meter) -> put(root, name, meter));
        metrics.getTimers().forEach((name, timer) -> put(root, name, timer));
        metrics.getHistograms()
                .forEach((name, histogram) ->
                        putQuantiles(root.putObject(name), histogram.getSnapshot(), 1, histogram.getCount()));
        return root;
    }

    private static void put(ObjectNode root, String name, Gauge<?> gauge) {
        root.set(name, JSON.valueToTree(gauge.getValue()));
    }

    private static void put(ObjectNode root, String name, Meter meter) {
        root.putObject(name).put("count", meter.getCount()).put("per_second_1m", meter.getOneMinuteRate());
    }

    private static void put(ObjectNode root, String name, Timer timer) {
        putQuantiles(root.putObject(name), timer.getSnapshot(), NANOS_PER_MS, timer.getCount());
    }

    private static void putQuantiles(ObjectNode node, Snapshot snapshot, double unit, long count) {
        node.put("count", count)
                .put("p50", snapshot.getMedian() / unit)
                .put("p99", snapshot.get99thPercentile() / unit)
                .put("max", snapshot.getMax() / unit);
    }
}

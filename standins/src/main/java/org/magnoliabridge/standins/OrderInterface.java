package org.magnoliabridge.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Stand-in for the interface that orders endpoints.
 *
 * <p>It starts no process: an endpoint that is ordered to run gets a free slot, which is the address of a process that
 * listens already, and shows in the instance list after the start delay. Without a free slot the order is refused with
 * 422 {@code no_capacity}. An endpoint that is ordered to stop shows as leaving at once and is removed after the stop
 * delay. {@code GET /record} gives every order received, also the refused ones.
 */
public final class OrderInterface implements StandIn {
    private static final Logger LOG = Logger.getLogger(OrderInterface.class.getName());
    private static final String ENDPOINTS = "/endpoints/";
    private static final Duration LIST_TIMEOUT = Duration.ofSeconds(2);
    private static final long LIST_RETRY_MS = 200;

    /**
     * A place where an endpoint can run.
     *
     * @param service the service that the process at the address offers
     * @param dc its data centre
     * @param kind {@code standard} or {@code reclaimable}
     * @param address its IP address and port
     * @param id the endpoint that runs there from the start, or empty
     */
    public record Slot(String service, String dc, String kind, String address, Optional<String> id) {
        /** Parses {@code service,dc,kind,address[,id]}. */
        public static Slot parse(String text) {
            String[] parts = text.split(",", -1);
            if (parts.length < 4 || parts.length > 5) {
                throw new IllegalArgumentException("a slot is service,dc,kind,address[,id]: " + text);
            }
            return new Slot(
                    parts[0],
                    parts[1],
                    parts[2],
                    parts[3],
                    parts.length == 5 ? Optional.of(parts[4]) : Optional.empty());
        }
    }

    /**
     * Settings.
     *
     * @param checksFencing whether an order with an old fencing token is refused
     * @param startMs from the order until the endpoint shows as live
     * @param stopMs from the order until the endpoint is gone
     * @param slots where endpoints can run
     */
    public record Settings(boolean checksFencing, long startMs, long stopMs, List<Slot> slots) {
        public Settings {
            slots = List.copyOf(slots);
        }
    }

    private static final class Endpoint {
        private final Slot slot;
        private final ObjectNode order;
        private String state;

        Endpoint(Slot slot, ObjectNode order, String state) {
            this.slot = slot;
            this.order = order;
            this.state = state;
        }
    }

    private final Settings settings;
    private final URI instances;
    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(LIST_TIMEOUT).build();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().name("order-timer").daemon(true).factory());
    private final SortedMap<String, Endpoint> endpoints = new TreeMap<>();
    private final List<ObjectNode> record = new ArrayList<>();
    private long highestFencing;
    private final StandInServer server;

    /** Starts it; port 0 lets the system choose. */
    public OrderInterface(InetSocketAddress listen, InetSocketAddress instanceList, Settings settings) {
        this.settings = settings;
        instances = URI.create(
                "http://" + instanceList.getAddress().getHostAddress() + ":" + instanceList.getPort() + "/instances");
        for (Slot slot : settings.slots()) {
            slot.id().ifPresent(id -> {
                endpoints.put(id, new Endpoint(slot, order(id, slot), "running"));
                timer.execute(() -> show(id, slot, "live"));
            });
        }
        server = new StandInServer(listen, this::answer);
    }

    @Override
    public InetSocketAddress address() {
        return server.address();
    }

    @Override
    public void close() {
        timer.shutdownNow();
        server.close();
        client.close();
    }

    private synchronized Answer answer(Call call) throws BadCallException {
        if (call.is("GET", "/endpoints")) {
            List<ObjectNode> all = new ArrayList<>();
            endpoints
                    .values()
                    .forEach(endpoint -> all.add(endpoint.order.deepCopy().put("state", endpoint.state)));
            return Answer.json(200, Json.array(all));
        }
        if (call.is("GET", "/record")) {
            return Answer.json(200, Json.array(record));
        }
        if (call.isUnder("PUT", ENDPOINTS)) {
            return take(call.after(ENDPOINTS), call);
        }
        return Answer.error(404, "no such route");
    }

    private Answer take(String id, Call call) throws BadCallException {
        JsonNode body = call.json();
        ObjectNode order = Json.object()
                .put("id", id)
                .put("order_id", Json.text(body, "order_id"))
                .put("fencing", Json.number(body, "fencing"))
                .put("dc", Json.text(body, "dc"))
                .put("service", Json.text(body, "service"))
                .put("kind", Json.text(body, "kind"))
                .put("desired", Json.text(body, "desired"));
        Answer.Whole answer = carryOut(id, order);
        record.add(order.deepCopy()
                .put("at_ms", System.currentTimeMillis())
                .put("highest_fencing", highestFencing)
                .put("status", answer.status()));
        return answer;
    }

    private Answer.Whole carryOut(String id, ObjectNode order) throws BadCallException {
        long fencing = Json.number(order, "fencing");
        if (settings.checksFencing() && fencing < highestFencing) {
            return Answer.error(409, "stale_fencing");
        }
        highestFencing = Math.max(highestFencing, fencing);
        return switch (Json.text(order, "desired")) {
            case "running" -> run(id, order);
            case "stopped" -> stop(id, order);
            default -> throw new BadCallException("field desired must be running or stopped");
        };
    }

    private Answer.Whole run(String id, ObjectNode order) {
        Endpoint known = endpoints.get(id);
        if (known != null) {
            return known.state.equals("stopping") ? Answer.error(422, "no_capacity") : Answer.ok();
        }
        Optional<Slot> free = settings.slots().stream()
                .filter(slot -> slot.service().equals(order.path("service").asText())
                        && slot.dc().equals(order.path("dc").asText())
                        && slot.kind().equals(order.path("kind").asText())
                        && endpoints.values().stream().noneMatch(endpoint -> endpoint.slot.equals(slot)))
                .min(Comparator.comparing(Slot::address));
        if (free.isEmpty()) {
            return Answer.error(422, "no_capacity");
        }
        Endpoint endpoint = new Endpoint(free.get(), order, "starting");
        endpoints.put(id, endpoint);
        later(settings.startMs(), () -> {
            if (moved(endpoint, "starting", "running")) {
                show(id, endpoint.slot, "live");
            }
        });
        return Answer.ok();
    }

    private Answer.Whole stop(String id, ObjectNode order) {
        Endpoint endpoint = endpoints.get(id);
        if (endpoint == null || endpoint.state.equals("stopping")) {
            return Answer.ok();
        }
        endpoint.order.setAll(order);
        endpoint.state = "stopping";
        later(0, () -> show(id, endpoint.slot, "leaving"));
        later(settings.stopMs(), () -> {
            show(id, endpoint.slot, "gone");
            forget(id);
        });
        return Answer.ok();
    }

    private synchronized boolean moved(Endpoint endpoint, String from, String to) {
        if (!endpoint.state.equals(from)) {
            return false;
        }
        endpoint.state = to;
        return true;
    }

    private synchronized void forget(String id) {
        endpoints.remove(id);
    }

    private void later(long delayMs, Runnable task) {
        ScheduledFuture<?> unused = timer.schedule(task, delayMs, TimeUnit.MILLISECONDS);
    }

    private void show(String id, Slot slot, String state) {
        ObjectNode entry = Json.object()
                .put("id", id)
                .put("role", "endpoint")
                .put("service", slot.service())
                .put("dc", slot.dc())
                .put("kind", slot.kind())
                .put("address", slot.address())
                .put("state", state);
        HttpRequest request = HttpRequest.newBuilder(instances)
                .timeout(LIST_TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofByteArray(Json.bytes(entry)))
                .build();
        CompletableFuture<?> unused = client.sendAsync(request, HttpResponse.BodyHandlers.discarding())
                .whenComplete((answer, failure) -> {
                    // The list must show the change in the end, so a failed call is repeated.
                    if ((failure != null || answer.statusCode() != 200) && !timer.isShutdown()) {
                        LOG.log(Level.INFO, "instance list did not take a change; retrying", failure);
                        later(LIST_RETRY_MS, () -> show(id, slot, state));
                    }
                });
    }

    private static ObjectNode order(String id, Slot slot) {
        return Json.object()
                .put("id", id)
                .put("order_id", "initial")
                .put("fencing", 0)
                .put("dc", slot.dc())
                .put("service", slot.service())
                .put("kind", slot.kind())
                .put("desired", "running");
    }
}

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A sound model sampler. The body of an item says how many events its text has and how many milliseconds lie between
 * two of them, separated by a space. It registers itself in the store and accepts orders to load weights.
 */
final class Sampler {
    static final int SLOTS = 24;

    final String id;
    private final String service;
    private final String zone;
    private final String model;
    private final Store store;
    private final Lab.Record record;
    private final HttpServer server;
    private final long bornMs = System.currentTimeMillis();
    private final AtomicInteger running = new AtomicInteger();
    private volatile int version = 1;
    private volatile int orders;
    private volatile boolean crashed;
    private long beats;

    Sampler(String id, String service, String zone, String model, Store store, Lab.Record record) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.model = model;
        this.store = store;
        this.record = record;
        server = Servers.start(this::handle);
        Thread.ofVirtual().start(() -> {
            try {
                while (!crashed) {
                    beat();
                    Thread.sleep(1_200);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    /** Returns the number of requests that run. */
    int running() {
        return running.get();
    }

    /** Ends the sampler without a word: its connections and its port are closed, and its entry stays. */
    void crash() {
        crashed = true;
        record.line("sampler %s crashes", id);
        server.stop(0);
    }

    private ObjectNode state() {
        ObjectNode state = Store.JSON.createObjectNode().put("Stage", "both").put("born", bornMs);
        ObjectNode served = state.putArray("Models").addObject().put("Name", model).put("Version", version);
        served.putArray("Adapters");
        return state;
    }

    private void beat() {
        ObjectNode entry = state().put("Service", service).put("Address", Servers.address(server)).put("Zone", zone);
        entry.put("Version", "v1").put("Slots", SLOTS).put("State", "ready").put("ColdLeftMs", 0).put("Seq", ++beats);
        store.put("servers", id, entry);
    }

    private void handle(HttpExchange ex) throws IOException {
        byte[] body = ex.getRequestBody().readAllBytes();
        String path = ex.getRequestURI().getPath();
        String expected = ex.getRequestHeaders().getFirst("X-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            Servers.send(ex, 421, Map.of("X-Instance-Id", id), new byte[0]);
        } else if (path.equals("/-/report")) {
            ObjectNode report = state().put("Busy", false).put("Seq", orders).put("Waiting", 0);
            report.put("Running", running.get()).put("KvUsed", 0).put("KvTotal", 100_000).put("Handles", 0);
            Servers.send(ex, 200, Map.of("Content-Type", "application/json"), Store.JSON.writeValueAsBytes(report));
        } else if (path.equals("/-/order")) {
            JsonNode order = Store.JSON.readTree(body);
            boolean holds = order.path("Version").asInt() == version;
            version = order.path("Version").asInt();
            orders++;
            record.line("sampler %s got an order from %s with fence %s", id, order.path("Holder").asText(),
                    order.path("FencingToken").asText());
            Servers.send(ex, holds ? 200 : 202, Map.of(), new byte[0]);
        } else if (path.equals("/healthz")) {
            Servers.send(ex, 200, Map.of("X-Instance-Id", id), new byte[0]);
        } else if (isOtherVersion(ex)) {
            record.line("sampler %s, at version %d, answers 421 to item %s, which expects version %s", id, version,
                    ex.getRequestHeaders().getFirst("X-Attempt-Id"),
                    ex.getRequestHeaders().getFirst("X-Expect-Version"));
            Servers.send(ex, 421, Map.of("X-Not-Executed", "1", "X-Instance-Id", id, "X-Attempt-Id",
                    ex.getRequestHeaders().getFirst("X-Attempt-Id")), new byte[0]);
        } else {
            generate(ex, new String(body, StandardCharsets.UTF_8));
        }
    }

    private boolean isOtherVersion(HttpExchange ex) {
        String wanted = ex.getRequestHeaders().getFirst("X-Expect-Version");
        return wanted != null && Integer.parseInt(wanted) != version;
    }

    private void generate(HttpExchange ex, String body) throws IOException {
        String item = ex.getRequestHeaders().getFirst("X-Attempt-Id");
        String last = ex.getRequestHeaders().getFirst("Last-Event-Id");
        String[] work = body.split(" ");
        int events = Integer.parseInt(work[0]);
        long gapMs = Long.parseLong(work[1]);
        running.incrementAndGet();
        record.line("sampler %s runs item %s for team %s after event %s", id, item,
                ex.getRequestHeaders().getFirst("X-Tenant"), last);
        try {
            ex.getResponseHeaders().set("Content-Type", "text/event-stream");
            ex.getResponseHeaders().set("X-Attempt-Id", item);
            ex.getResponseHeaders().set("X-Response-Seal", "seal-" + id + "-" + item);
            ex.getResponseHeaders().set("X-Weight-Versions", Integer.toString(version));
            ex.sendResponseHeaders(200, 0);
            try (OutputStream out = ex.getResponseBody()) {
                for (int n = last == null ? 1 : Integer.parseInt(last) + 1; n <= events; n++) {
                    Thread.sleep(gapMs);
                    out.write(("id: " + n + "\ndata: " + text(item, n) + "\n\n").getBytes(StandardCharsets.UTF_8));
                    out.flush();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            running.decrementAndGet();
            ex.close();
        }
    }

    /** Returns the data of an event of an item. */
    static String text(String item, int event) {
        return item + "/" + event;
    }

    /** Returns the whole output of an item with this number of events. */
    static String output(String item, int events) {
        StringBuilder all = new StringBuilder();
        for (int n = 1; n <= events; n++) {
            all.append(n == 1 ? "" : "\n").append(text(item, n));
        }
        return all.toString();
    }
}

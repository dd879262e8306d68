import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** A sampler: answers plain requests with a sealed body, and streams the events of items. */
final class Sampler implements AutoCloseable {
    /** What a sampler did with a request. */
    record Run(long atMs, String id, String path, int bodyBytes, String did) {}

    /** Changes the answer to a plain request; returns null for the usual one. */
    interface Fault {
        /** Sends an answer and returns what was done, or returns null. */
        String answer(HttpExchange exchange, String id) throws IOException;
    }

    private final String id;
    private final HttpServer server;
    private final List<Run> runs = new CopyOnWriteArrayList<>();
    private final Set<String> begun = ConcurrentHashMap.newKeySet();
    private final AtomicInteger running = new AtomicInteger();
    private volatile Fault fault = (exchange, request) -> null;
    private volatile int itemEvents = 10;
    private volatile long eventMs = 20;

    Sampler(String ip, String id) throws IOException {
        this.id = id;
        server = HttpServer.create(new InetSocketAddress(ip, 0), 256);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/", this::handle);
        server.start();
    }

    String id() {
        return id;
    }

    String address() {
        return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
    }

    /** Returns the sampler's entry in the store. */
    String entry(String service, String zone, int slots) {
        return """
                {"Service":"%s","Address":"%s","Zone":"%s","Version":"v1","Slots":%d,"State":"ready","ColdLeftMs":0,
                 "Stage":"both","Models":[{"Name":"m0","Version":1,"Adapters":[]}],"Seq":4,"born":%d}
                """.formatted(service, address(), zone, slots, System.currentTimeMillis() - 60_000);
    }

    List<Run> runs() {
        return runs;
    }

    /** Returns whether the sampler has begun to work on a request. */
    boolean hasBegun(String request) {
        return begun.contains(request);
    }

    void setFault(Fault newFault) {
        fault = newFault;
    }

    void setItems(int events, long msPerEvent) {
        itemEvents = events;
        eventMs = msPerEvent;
    }

    @Override
    public void close() {
        server.stop(0);
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            String path = exchange.getRequestURI().toString();
            if (path.equals("/-/report")) {
                answer(exchange, 200, ("{\"Stage\":\"both\",\"Models\":[{\"Name\":\"m0\",\"Version\":1,\"Adapters\":[]}],"
                        + "\"Busy\":false,\"Seq\":2,\"Waiting\":0,\"Running\":" + running.get()
                        + ",\"KvUsed\":0,\"KvTotal\":90000,\"Handles\":0}"));
            } else if (path.equals("/-/order")) {
                answer(exchange, 200, "{}");
            } else if (path.equals("/healthz")) {
                exchange.getResponseHeaders().set("X-Instance-Id", id);
                answer(exchange, 200, "");
            } else {
                request(exchange, path, body);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void request(HttpExchange exchange, String path, byte[] body) throws IOException, InterruptedException {
        String request = exchange.getRequestHeaders().getFirst("X-Attempt-Id");
        String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            exchange.getResponseHeaders().set("X-Instance-Id", id);
            answer(exchange, 421, "");
            return;
        }
        running.incrementAndGet();
        begun.add(request);
        try {
            String did = exchange.getRequestHeaders().containsKey("X-Model")
                    ? stream(exchange, request)
                    : fault.answer(exchange, request);
            if (did == null) {
                seal(exchange, request);
                answer(exchange, 200, "done " + request);
                did = "200";
            }
            runs.add(new Run(System.currentTimeMillis(), request, path, body.length, did));
        } finally {
            running.decrementAndGet();
        }
    }

    private String stream(HttpExchange exchange, String request) throws IOException, InterruptedException {
        String last = exchange.getRequestHeaders().getFirst("Last-Event-Id");
        seal(exchange, request);
        exchange.getResponseHeaders().set("X-Weight-Versions", "1");
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
        OutputStream out = exchange.getResponseBody();
        for (long n = last == null ? 1 : Long.parseLong(last) + 1; n <= itemEvents; n++) {
            Thread.sleep(eventMs);
            out.write(("id: " + n + "\ndata: " + request + "#" + n + "\n\n").getBytes(StandardCharsets.UTF_8));
            out.flush();
        }
        return "streamed";
    }

    static void seal(HttpExchange exchange, String request) {
        exchange.getResponseHeaders().set("X-Attempt-Id", request);
        exchange.getResponseHeaders().set("X-Response-Seal", "seal-" + request);
    }

    static void answer(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        if (bytes.length > 0) {
            exchange.getResponseBody().write(bytes);
        }
    }
}

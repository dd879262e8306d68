import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * The platform's metadata store: linearizable, one revision counter, pages of 500 objects, 4 ms an answer. Objects are
 * kept as encoded, so that a page takes hardly longer than that.
 */
final class Store implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int PAGE = 500;
    private static final int PAGE_BYTES = 1_000_000;
    private static final int VALUE_BYTES = 1 << 20;
    private static final long ANSWER_MS = 4;
    private static final byte[] NOTHING = {};

    private final Map<String, TreeMap<String, Stored>> kinds = new HashMap<>();
    private final List<Event> events = new ArrayList<>();
    private final HttpServer server;
    private long revision = 100;

    private record Stored(long revision, long created, byte[] bytes) {}

    private record Event(long revision, String kind, Stored object, boolean deleted) {}

    private record Reply(int status, byte[] body) {}

    Store(String ip) throws IOException {
        server = HttpServer.create(new InetSocketAddress(ip, 0), 256);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/-/objects/", this::handle);
        server.start();
    }

    InetSocketAddress address() {
        return server.getAddress();
    }

    /** Writes an object without a condition, as the operator, a sampler or a trainer does. */
    synchronized void put(String kind, String name, String spec) throws IOException {
        store(kind, name, JSON.readTree(spec), JSON.nullNode());
    }

    synchronized JsonNode spec(String kind, String name) throws IOException {
        Stored object = find(kind, name);
        return object == null ? null : JSON.readTree(object.bytes()).path("Spec");
    }

    synchronized int count(String kind) {
        return kinds.getOrDefault(kind, new TreeMap<>()).size();
    }

    @Override
    public void close() {
        server.stop(0);
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            String[] path = exchange.getRequestURI().getPath().substring("/-/objects/".length()).split("/", 3);
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            boolean watch = path.length == 1 && query.containsKey("Watch");
            if (!watch) {
                Thread.sleep(ANSWER_MS);
            }
            Reply reply = switch (exchange.getRequestMethod()) {
                case "GET" ->
                    path.length > 1
                            ? get(path[0], path[1])
                            : watch ? watch(path[0], query) : list(path[0], query.getOrDefault("After", ""));
                case "POST" -> create(path[0], body);
                case "PUT" -> replace(path, JSON.readTree(body));
                case "DELETE" -> delete(path[0], path[1], query.getOrDefault("Revision", ""));
                default -> new Reply(405, NOTHING);
            };
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(reply.status(), reply.body().length == 0 ? -1 : reply.body().length);
            if (reply.body().length > 0) {
                exchange.getResponseBody().write(reply.body());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Stored find(String kind, String name) {
        return kinds.getOrDefault(kind, new TreeMap<>()).get(name);
    }

    private synchronized Reply get(String kind, String name) {
        Stored object = find(kind, name);
        return object == null ? new Reply(404, NOTHING) : new Reply(200, object.bytes());
    }

    private synchronized Reply list(String kind, String after) {
        ByteArrayOutputStream page = new ByteArrayOutputStream();
        page.writeBytes(utf8("{\"Items\":["));
        int items = 0;
        boolean more = false;
        for (Stored object : kinds.getOrDefault(kind, new TreeMap<>()).tailMap(after, false).values()) {
            if (items >= PAGE || (items > 0 && page.size() + object.bytes().length > PAGE_BYTES)) {
                more = true;
                break;
            }
            if (items++ > 0) {
                page.write(',');
            }
            page.writeBytes(object.bytes());
        }
        page.writeBytes(utf8("],\"MorePages\":" + more + ",\"AsOf\":" + revision + "}"));
        return new Reply(200, page.toByteArray());
    }

    private synchronized Reply watch(String kind, Map<String, String> query) throws InterruptedException {
        long since = Long.parseLong(query.get("Watch"));
        long until = System.nanoTime() + Long.parseLong(query.getOrDefault("WaitMs", "0")) * 1_000_000;
        List<Event> found = since(kind, since);
        while (found.isEmpty() && until - System.nanoTime() > 0) {
            wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
            found = since(kind, since);
        }
        ByteArrayOutputStream answer = new ByteArrayOutputStream();
        answer.writeBytes(utf8("{\"events\":["));
        for (int i = 0; i < found.size(); i++) {
            answer.writeBytes(utf8((i > 0 ? "," : "") + "{\"Tombstone\":" + found.get(i).deleted() + ",\"Object\":"));
            answer.writeBytes(found.get(i).object().bytes());
            answer.write('}');
        }
        answer.writeBytes(utf8("],\"AsOf\":" + revision + "}"));
        return new Reply(200, answer.toByteArray());
    }

    private List<Event> since(String kind, long since) {
        List<Event> found = new ArrayList<>();
        for (int i = events.size() - 1; i >= 0 && events.get(i).revision() > since; i--) {
            if (events.get(i).kind().equals(kind)) {
                found.addFirst(events.get(i));
            }
        }
        return found;
    }

    private synchronized Reply create(String kind, byte[] body) throws IOException {
        JsonNode document = JSON.readTree(body);
        String name = document.path("Metadata").path("Name").asText();
        Stored before = find(kind, name);
        if (before != null) {
            return new Reply(409, before.bytes());
        }
        return body.length > VALUE_BYTES
                ? new Reply(413, NOTHING)
                : new Reply(200, store(kind, name, document.path("Spec"), JSON.nullNode()).bytes());
    }

    private synchronized Reply replace(String[] path, JsonNode document) throws IOException {
        Stored before = find(path[0], path[1]);
        JsonNode expected = document.path("Metadata").path("Revision");
        if (before == null) {
            return new Reply(404, NOTHING);
        }
        if (expected.isNumber() && expected.asLong() != before.revision()) {
            return new Reply(409, before.bytes());
        }
        JsonNode old = JSON.readTree(before.bytes());
        boolean status = path.length == 3;
        return new Reply(200, store(path[0], path[1], (status ? old : document).path("Spec"),
                (status ? document : old).path("Status")).bytes());
    }

    private synchronized Reply delete(String kind, String name, String expected) {
        Stored before = find(kind, name);
        if (before == null) {
            return new Reply(404, NOTHING);
        }
        if (!expected.isEmpty() && Long.parseLong(expected) != before.revision()) {
            return new Reply(409, before.bytes());
        }
        kinds.get(kind).remove(name);
        events.add(new Event(++revision, kind, before, true));
        notifyAll();
        return new Reply(200, NOTHING);
    }

    private Stored store(String kind, String name, JsonNode spec, JsonNode status) throws IOException {
        TreeMap<String, Stored> objects = kinds.computeIfAbsent(kind, k -> new TreeMap<>());
        Stored before = objects.get(name);
        if (before != null) {
            JsonNode old = JSON.readTree(before.bytes());
            if (old.path("Spec").equals(spec) && old.path("Status").equals(status)) {
                return before;
            }
        }
        long created = before == null ? ++revision : before.created();
        revision = before == null ? revision : revision + 1;
        ObjectNode object = JSON.createObjectNode();
        ObjectNode metadata = object.putObject("Metadata");
        metadata.put("Name", name).put("Revision", revision).put("Created", created);
        metadata.putArray("Finalizers");
        metadata.put("Deleting", false);
        object.set("Spec", spec);
        object.set("Status", status);
        Stored stored = new Stored(revision, created, JSON.writeValueAsBytes(object));
        objects.put(name, stored);
        events.add(new Event(revision, kind, stored, false));
        notifyAll();
        return stored;
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        for (String part : raw == null ? new String[0] : raw.split("&")) {
            int eq = part.indexOf('=');
            if (eq > 0) {
                query.put(part.substring(0, eq), URLDecoder.decode(part.substring(eq + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }
}

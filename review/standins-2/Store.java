import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
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

/** The platform's metadata store, as PROTOCOL.md describes it, in memory and without impairment. */
final class Store implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String PREFIX = "/-/objects/";
    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1_000_000;
    private static final int VALUE_BYTES = 1_048_576;
    private static final int KEPT_EVENTS = 20_000;

    private record Event(long revision, String key, ObjectNode object, boolean deleted) {}

    private final TreeMap<String, ObjectNode> objects = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private final HttpServer server;
    private long revision = 100;
    private long forgotten;

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 200);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext(PREFIX, this::handle);
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    /** Writes an object like the operator, a trainer or a server does. */
    synchronized void put(String key, String spec) throws IOException {
        write(key, JSON.readTree(spec));
    }

    synchronized JsonNode spec(String key) {
        ObjectNode object = objects.get(key);
        return object == null ? JSON.missingNode() : object.path("Spec");
    }

    @Override
    public void close() {
        server.stop(0);
    }

    private void handle(HttpExchange call) throws IOException {
        try (call) {
            byte[] body = call.getRequestBody().readAllBytes();
            String path = call.getRequestURI().getPath().substring(PREFIX.length());
            Map<String, String> query = query(call.getRequestURI().getRawQuery());
            switch (call.getRequestMethod()) {
                case "GET" -> get(call, path, query);
                case "POST" -> create(call, path, body);
                case "PUT" -> replace(call, path, body);
                case "DELETE" -> delete(call, path, query);
                default -> send(call, 405, JSON.createObjectNode());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void get(HttpExchange call, String path, Map<String, String> query)
            throws IOException, InterruptedException {
        if (path.contains("/")) {
            ObjectNode found;
            synchronized (this) {
                found = objects.get(path);
            }
            send(call, found == null ? 404 : 200, found == null ? JSON.createObjectNode() : found);
        } else if (query.containsKey("Watch")) {
            watch(call, path, Long.parseLong(query.get("Watch")), Long.parseLong(query.getOrDefault("WaitMs", "0")));
        } else {
            list(call, path, query.getOrDefault("After", ""));
        }
    }

    private void list(HttpExchange call, String kind, String after) throws IOException {
        ObjectNode page = JSON.createObjectNode();
        ArrayNode items = page.putArray("Items");
        synchronized (this) {
            boolean more = false;
            long bytes = 0;
            for (Map.Entry<String, ObjectNode> e :
                    objects.tailMap(kind + "/" + after, false).entrySet()) {
                if (!e.getKey().startsWith(kind + "/")) {
                    break;
                }
                if (items.size() >= PAGE_ITEMS || bytes >= PAGE_BYTES) {
                    more = true;
                    break;
                }
                items.add(e.getValue());
                bytes += e.getValue().toString().length();
            }
            page.put("MorePages", more);
            page.put("AsOf", revision);
        }
        send(call, 200, page);
    }

    private void watch(HttpExchange call, String kind, long since, long waitMs)
            throws IOException, InterruptedException {
        ObjectNode answer = JSON.createObjectNode();
        ArrayNode list = answer.putArray("events");
        synchronized (this) {
            if (since < forgotten) {
                send(call, 410, JSON.createObjectNode());
                return;
            }
            long endNanos = System.nanoTime() + Math.min(30_000, waitMs) * 1_000_000;
            addChanges(list, kind, since);
            while (list.isEmpty() && System.nanoTime() < endNanos) {
                wait(Math.max(1, (endNanos - System.nanoTime()) / 1_000_000));
                addChanges(list, kind, since);
            }
            answer.put("AsOf", revision);
        }
        send(call, 200, answer);
    }

    private void addChanges(ArrayNode list, String kind, long since) {
        int first = events.size();
        while (first > 0 && events.get(first - 1).revision() > since) {
            first--;
        }
        for (Event e : events.subList(first, events.size())) {
            if (e.key().startsWith(kind + "/")) {
                list.addObject().put("Tombstone", e.deleted()).set("Object", e.object());
            }
        }
    }

    private void create(HttpExchange call, String kind, byte[] body) throws IOException {
        JsonNode sent = JSON.readTree(body);
        String key = kind + "/" + sent.path("Metadata").path("Name").asText();
        synchronized (this) {
            if (body.length > VALUE_BYTES) {
                send(call, 413, JSON.createObjectNode());
            } else if (objects.containsKey(key)) {
                send(call, 409, objects.get(key));
            } else {
                send(call, 201, write(key, sent.path("Spec")));
            }
        }
    }

    private void replace(HttpExchange call, String path, byte[] body) throws IOException {
        boolean status = path.endsWith("/status");
        String key = status ? path.substring(0, path.length() - "/status".length()) : path;
        JsonNode sent = JSON.readTree(body);
        synchronized (this) {
            ObjectNode before = objects.get(key);
            JsonNode expected = sent.path("Metadata").path("Revision");
            if (body.length > VALUE_BYTES) {
                send(call, 413, JSON.createObjectNode());
            } else if (before == null) {
                send(call, 404, JSON.createObjectNode());
            } else if (expected.isNumber() && expected.asLong() != revisionOf(before)) {
                send(call, 409, before);
            } else if (status) {
                ObjectNode changed = before.deepCopy();
                changed.set("Status", sent.path("Status"));
                send(call, 200, record(key, changed));
            } else {
                send(call, 200, write(key, sent.path("Spec")));
            }
        }
    }

    private void delete(HttpExchange call, String key, Map<String, String> query) throws IOException {
        synchronized (this) {
            ObjectNode before = objects.get(key);
            if (before == null) {
                send(call, 404, JSON.createObjectNode());
            } else if (query.containsKey("Revision") && Long.parseLong(query.get("Revision")) != revisionOf(before)) {
                send(call, 409, before);
            } else {
                objects.remove(key);
                event(new Event(++revision, key, before, true));
                send(call, 200, before);
            }
        }
    }

    private ObjectNode write(String key, JsonNode spec) {
        ObjectNode before = objects.get(key);
        if (before != null && before.path("Spec").equals(spec)) {
            return before;
        }
        ObjectNode object = JSON.createObjectNode();
        ObjectNode metadata = object.putObject("Metadata").put("Name", key.substring(key.indexOf('/') + 1));
        metadata.put("Created", before == null ? revision + 1 : before.path("Metadata").path("Created").asLong());
        object.set("Spec", spec);
        object.set("Status", before == null ? JSON.nullNode() : before.path("Status"));
        return record(key, object);
    }

    private ObjectNode record(String key, ObjectNode object) {
        ((ObjectNode) object.path("Metadata")).put("Revision", ++revision);
        objects.put(key, object);
        event(new Event(revision, key, object, false));
        return object;
    }

    private void event(Event event) {
        events.add(event);
        if (events.size() > KEPT_EVENTS) {
            forgotten = events.get(KEPT_EVENTS / 2 - 1).revision();
            events.subList(0, KEPT_EVENTS / 2).clear();
        }
        notifyAll();
    }

    private static long revisionOf(ObjectNode object) {
        return object.path("Metadata").path("Revision").asLong();
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        for (String part : raw == null ? new String[0] : raw.split("&")) {
            int equals = part.indexOf('=');
            if (equals > 0) {
                query.put(
                        part.substring(0, equals),
                        URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private static void send(HttpExchange call, int status, JsonNode body) throws IOException {
        byte[] bytes = JSON.writeValueAsBytes(body);
        call.getResponseHeaders().set("Content-Type", "application/json");
        call.sendResponseHeaders(status, bytes.length);
        call.getResponseBody().write(bytes);
        call.getResponseBody().flush();
    }
}

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store: objects by kind and name, one revision counter, lists, watches and conditions. */
final class Store {
    static final ObjectMapper JSON = new ObjectMapper();
    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1 << 20;
    private static final int MAX_VALUE_BYTES = 1 << 20;

    private final Map<String, TreeMap<String, ObjectNode>> kinds = new HashMap<>();
    private final List<Event> events = new ArrayList<>();
    private long revision = 100;

    private record Event(long revision, String kind, ObjectNode object, boolean tombstone) {}

    /** Creates or replaces an object, as an operator, a trainer or a sampler does; returns its revision. */
    synchronized long put(String kind, String name, JsonNode spec) {
        ObjectNode before = objects(kind).get(name);
        ObjectNode object = before == null ? newObject(name) : before.deepCopy();
        object.set("Spec", spec);
        return store(kind, name, object);
    }

    /** Removes an object, as the platform does with the entry of a sampler that has left. */
    synchronized void remove(String kind, String name) {
        ObjectNode object = objects(kind).remove(name);
        if (object != null) {
            revision++;
            events.add(new Event(revision, kind, object, true));
            notifyAll();
        }
    }

    synchronized JsonNode spec(String kind, String name) {
        ObjectNode object = objects(kind).get(name);
        return object == null ? null : object.get("Spec");
    }

    void handle(HttpExchange ex) throws IOException {
        byte[] body = ex.getRequestBody().readAllBytes();
        String[] path = ex.getRequestURI().getRawPath().substring("/-/objects/".length()).split("/");
        Map<String, String> query = Servers.query(ex);
        try {
            switch (ex.getRequestMethod()) {
                case "GET" -> {
                    if (path.length > 1) {
                        get(ex, path[0], path[1]);
                    } else if (query.containsKey("Watch")) {
                        watch(ex, path[0], Long.parseLong(query.get("Watch")), query);
                    } else {
                        list(ex, path[0], query.getOrDefault("After", ""));
                    }
                }
                case "POST" -> create(ex, path[0], (ObjectNode) JSON.readTree(body));
                case "PUT" -> replace(ex, path, (ObjectNode) JSON.readTree(body));
                case "DELETE" -> delete(ex, path[0], path[1], query);
                default -> Servers.send(ex, 405, Map.of(), new byte[0]);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            ex.close();
        }
    }

    private TreeMap<String, ObjectNode> objects(String kind) {
        return kinds.computeIfAbsent(kind, k -> new TreeMap<>());
    }

    private ObjectNode newObject(String name) {
        ObjectNode object = JSON.createObjectNode();
        ObjectNode metadata = object.putObject("Metadata").put("Name", name).put("Created", revision + 1);
        metadata.putArray("Finalizers");
        metadata.put("Deleting", false);
        object.putNull("Spec");
        object.putNull("Status");
        return object;
    }

    private long store(String kind, String name, ObjectNode object) {
        revision++;
        ((ObjectNode) object.get("Metadata")).put("Revision", revision);
        objects(kind).put(name, object);
        events.add(new Event(revision, kind, object, false));
        notifyAll();
        return revision;
    }

    private void get(HttpExchange ex, String kind, String name) throws IOException {
        ObjectNode object;
        synchronized (this) {
            object = objects(kind).get(name);
        }
        answer(ex, object == null ? 404 : 200, object);
    }

    private void list(HttpExchange ex, String kind, String after) throws IOException {
        ObjectNode page = JSON.createObjectNode();
        synchronized (this) {
            ArrayNode items = page.putArray("Items");
            int bytes = 0;
            boolean more = false;
            for (ObjectNode object : objects(kind).tailMap(after, false).values()) {
                bytes += object.toString().length();
                if (items.size() >= PAGE_ITEMS || (bytes > PAGE_BYTES && !items.isEmpty())) {
                    more = true;
                    break;
                }
                items.add(object);
            }
            page.put("MorePages", more).put("AsOf", revision);
        }
        answer(ex, 200, page);
    }

    private void watch(HttpExchange ex, String kind, long since, Map<String, String> query)
            throws IOException, InterruptedException {
        long endNanos = System.nanoTime() + Long.parseLong(query.getOrDefault("WaitMs", "0")) * 1_000_000;
        ObjectNode answer = JSON.createObjectNode();
        synchronized (this) {
            ArrayNode found = answer.putArray("events");
            while (true) {
                for (Event event : events) {
                    if (event.revision() > since && event.kind().equals(kind)) {
                        ObjectNode shown = found.addObject();
                        shown.set("Object", event.object());
                        shown.put("Tombstone", event.tombstone());
                    }
                }
                long leftMs = (endNanos - System.nanoTime()) / 1_000_000;
                if (!found.isEmpty() || leftMs <= 0) {
                    break;
                }
                wait(leftMs);
            }
            answer.put("AsOf", revision);
        }
        answer(ex, 200, answer);
    }

    private void create(HttpExchange ex, String kind, ObjectNode body) throws IOException {
        String name = body.path("Metadata").path("Name").asText();
        ObjectNode object;
        int status;
        synchronized (this) {
            object = objects(kind).get(name);
            status = object == null ? 201 : 409;
            if (body.toString().length() > MAX_VALUE_BYTES + 1_000) {
                status = 413;
            } else if (object == null) {
                object = newObject(name);
                object.set("Spec", body.path("Spec"));
                store(kind, name, object);
            }
        }
        answer(ex, status, object);
    }

    private void replace(HttpExchange ex, String[] path, ObjectNode body) throws IOException {
        ObjectNode object;
        int status = 200;
        synchronized (this) {
            object = objects(path[0]).get(path[1]);
            JsonNode expected = body.path("Metadata").path("Revision");
            if (object == null) {
                status = 404;
            } else if (expected.isNumber() && expected.asLong() != revisionOf(object)) {
                status = 409;
            } else {
                String field = path.length > 2 ? "Status" : "Spec";
                if (!object.get(field).equals(body.path(field))) {
                    object = object.deepCopy();
                    object.set(field, body.path(field));
                    store(path[0], path[1], object);
                }
            }
        }
        answer(ex, status, object);
    }

    private void delete(HttpExchange ex, String kind, String name, Map<String, String> query) throws IOException {
        ObjectNode object;
        int status = 200;
        synchronized (this) {
            object = objects(kind).get(name);
            if (object == null) {
                status = 404;
            } else if (query.containsKey("Revision") && Long.parseLong(query.get("Revision")) != revisionOf(object)) {
                status = 409;
            } else {
                remove(kind, name);
            }
        }
        answer(ex, status, object);
    }

    private static long revisionOf(ObjectNode object) {
        return object.path("Metadata").path("Revision").asLong();
    }

    private static void answer(HttpExchange ex, int status, JsonNode body) throws IOException {
        byte[] bytes = body == null ? new byte[0] : JSON.writeValueAsBytes(body);
        Servers.send(ex, status, Map.of("Content-Type", "application/json"), bytes);
    }
}

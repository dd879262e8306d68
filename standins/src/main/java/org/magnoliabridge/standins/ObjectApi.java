package org.magnoliabridge.standins;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Stand-in for the object API: versioned objects, conditional update, list and watch.
 *
 * <p>A version is the store's revision at the write, so a deleted and recreated object never repeats one. Beyond the
 * interface of the platform it has {@code GET /counts}, {@code GET /record} (every write) and {@code POST /slow}
 * ({@code {"delay_ms"}}, added to every call).
 */
public final class ObjectApi implements StandIn {
    private static final int MAX_VALUE_BYTES = 1 << 20;
    private static final String OBJECTS = "/objects/";
    private static final long DEFAULT_WATCH_MS = 30_000;

    /**
     * Settings.
     *
     * @param delayMs added to every call
     * @param keptEvents changes that a watch can look back
     */
    public record Settings(long delayMs, int keptEvents) {
        /** Returns settings without delay. */
        public static Settings defaults() {
            return new Settings(0, 10_000);
        }
    }

    @SuppressWarnings("ArrayRecordComponent")
    private record Stored(long version, byte[] value) {}

    private record Event(String key, long version, long revision) {
        ObjectNode json() {
            return Json.object().put("key", key).put("version", version).put("revision", revision);
        }
    }

    private final int keptEvents;
    private final TreeMap<String, Stored> objects = new TreeMap<>();
    private final Deque<Event> events = new ArrayDeque<>();
    private final List<ObjectNode> record = new ArrayList<>();
    private final SortedMap<String, Long> counts = new TreeMap<>();
    private long delayMs;
    private long revision;
    private long oldestRevision;
    private int openWatches;
    private final StandInServer server;

    /** Starts it; port 0 lets the system choose. */
    public ObjectApi(InetSocketAddress listen, Settings settings) {
        keptEvents = settings.keptEvents();
        delayMs = settings.delayMs();
        server = new StandInServer(listen, this::answer);
    }

    @Override
    public InetSocketAddress address() {
        return server.address();
    }

    @Override
    public void close() {
        server.close();
    }

    private Answer answer(Call call) throws BadCallException, InterruptedException {
        if (call.is("GET", "/counts")) {
            return counts();
        }
        if (call.is("GET", "/record")) {
            return record();
        }
        if (call.is("POST", "/slow")) {
            slow(Json.number(call.json(), "delay_ms"));
            return Answer.ok();
        }
        Thread.sleep(delay());
        if (call.is("GET", "/list")) {
            return list(call.query("prefix", ""));
        }
        if (call.is("GET", "/watch")) {
            return watch(call.query("prefix", ""), call.query("since", 0), call.query("wait_ms", DEFAULT_WATCH_MS));
        }
        if (call.path().startsWith(OBJECTS)) {
            String key = call.after(OBJECTS);
            return switch (call.method()) {
                case "GET" -> read(key);
                case "PUT" -> write(key, call);
                case "DELETE" -> delete(key, call);
                default -> Answer.error(405, "method not allowed");
            };
        }
        return Answer.error(404, "no such route");
    }

    private synchronized long delay() {
        return delayMs;
    }

    private synchronized void slow(long ms) {
        delayMs = ms;
    }

    private synchronized Answer read(String key) {
        count("reads");
        Stored stored = objects.get(key);
        if (stored == null) {
            return Answer.error(404, "no such object");
        }
        return new Answer.Whole(200, Map.of("ETag", tag(stored.version())), stored.value());
    }

    private synchronized Answer write(String key, Call call) throws BadCallException {
        count("writes");
        if (call.body().length > MAX_VALUE_BYTES) {
            return Answer.error(413, "value too large");
        }
        if (!isCurrent(key, call)) {
            count("conflicts");
            return Answer.error(412, "version conflict");
        }
        revision++;
        objects.put(key, new Stored(revision, call.body()));
        changed(key, revision);
        record.add(Json.object()
                .put("key", key)
                .put("version", revision)
                .put("at_ms", System.currentTimeMillis())
                .put("bytes", call.body().length));
        return Answer.ok().with("ETag", tag(revision));
    }

    private synchronized Answer delete(String key, Call call) throws BadCallException {
        count("deletes");
        if (!objects.containsKey(key)) {
            return Answer.error(404, "no such object");
        }
        if (!isCurrent(key, call)) {
            count("conflicts");
            return Answer.error(412, "version conflict");
        }
        revision++;
        objects.remove(key);
        changed(key, 0);
        return Answer.ok();
    }

    private boolean isCurrent(String key, Call call) throws BadCallException {
        Stored stored = objects.get(key);
        if ("*".equals(call.header("If-None-Match"))) {
            return stored == null;
        }
        String expected = call.header("If-Match");
        if (expected == null) {
            throw new BadCallException("If-Match or If-None-Match: * is needed");
        }
        return stored != null && expected.equals(tag(stored.version()));
    }

    private void changed(String key, long version) {
        events.addLast(new Event(key, version, revision));
        while (events.size() > keptEvents) {
            oldestRevision = events.removeFirst().revision();
        }
        notifyAll();
    }

    private synchronized Answer list(String prefix) {
        count("lists");
        ArrayNode found = Json.array();
        for (Map.Entry<String, Stored> entry : objects.tailMap(prefix, true).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            found.addObject()
                    .put("key", entry.getKey())
                    .put("version", entry.getValue().version());
        }
        ObjectNode body = Json.object().put("revision", revision);
        body.set("objects", found);
        return Answer.json(200, body);
    }

    private synchronized Answer watch(String prefix, long since, long waitMs) throws InterruptedException {
        count("watches");
        openWatches++;
        try {
            long end = System.nanoTime() + waitMs * 1_000_000;
            while (true) {
                if (since < oldestRevision || since > revision) {
                    return Answer.error(410, "revision too old");
                }
                List<ObjectNode> found = new ArrayList<>();
                events.stream()
                        .filter(event -> event.revision() > since && event.key().startsWith(prefix))
                        .forEach(event -> found.add(event.json()));
                long left = (end - System.nanoTime()) / 1_000_000;
                if (!found.isEmpty() || left <= 0) {
                    ObjectNode body = Json.object().put("revision", revision);
                    body.set("events", Json.array(found));
                    return Answer.json(200, body);
                }
                wait(left);
            }
        } finally {
            openWatches--;
        }
    }

    private synchronized Answer counts() {
        ObjectNode body = Json.object().put("open_watches", openWatches).put("revision", revision);
        counts.forEach(body::put);
        return Answer.json(200, body);
    }

    private synchronized Answer record() {
        return Answer.json(200, Json.array(record));
    }

    private void count(String kind) {
        counts.merge(kind, 1L, Long::sum);
    }

    private static String tag(long version) {
        return "\"" + version + "\"";
    }
}

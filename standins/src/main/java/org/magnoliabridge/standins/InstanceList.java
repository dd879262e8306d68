package org.magnoliabridge.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Stand-in for the lagging list of instances: a change shows after the lag.
 *
 * <p>Test drivers change it by {@code POST /instances} with {@code {"id","role","service","dc","address","state"}};
 * for a known id the other fields may be left out. State {@code gone} removes the entry.
 */
public final class InstanceList implements StandIn {
    private record Change(long visibleAtNanos, String id, ObjectNode entry) {}

    private final long lagMs;
    private final SortedMap<String, ObjectNode> truth = new TreeMap<>();
    private final SortedMap<String, ObjectNode> visible = new TreeMap<>();
    private final List<Change> pending = new ArrayList<>();
    private final List<ObjectNode> record = new ArrayList<>();
    private final StandInServer server;

    /** Starts it with a lag in milliseconds; port 0 lets the system choose. */
    public InstanceList(InetSocketAddress listen, long lagMs) {
        this.lagMs = lagMs;
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

    private synchronized Answer answer(Call call) throws BadCallException {
        if (call.is("GET", "/instances")) {
            applyVisible();
            return Answer.json(200, Json.array(visible.values()));
        }
        if (call.is("POST", "/instances")) {
            change(call.json());
            return Answer.ok();
        }
        if (call.is("GET", "/record")) {
            return Answer.json(200, Json.array(record));
        }
        return Answer.error(404, "no such route");
    }

    private void change(JsonNode body) throws BadCallException {
        String id = Json.text(body, "id");
        String state = Json.text(body, "state");
        ObjectNode entry = truth.containsKey(id) ? truth.get(id).deepCopy() : Json.object();
        body.properties().forEach(field -> entry.set(field.getKey(), field.getValue()));
        if (!state.equals("gone")) {
            for (String field : List.of("role", "dc", "address")) {
                Json.text(entry, field);
            }
        }
        record.add(entry.deepCopy().put("at_ms", System.currentTimeMillis()));
        boolean gone = state.equals("gone");
        if (gone) {
            truth.remove(id);
        } else {
            truth.put(id, entry);
        }
        pending.add(new Change(System.nanoTime() + lagMs * 1_000_000, id, gone ? null : entry));
    }

    private void applyVisible() {
        long now = System.nanoTime();
        while (!pending.isEmpty() && pending.getFirst().visibleAtNanos() - now <= 0) {
            Change change = pending.removeFirst();
            if (change.entry() == null) {
                visible.remove(change.id());
            } else {
                visible.put(change.id(), change.entry());
            }
        }
    }
}

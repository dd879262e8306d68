package org.magnoliabridge.standins;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Stand-in for a plain service whose posts must not be repeated: every {@code POST /bookings} books again.
 *
 * <p>{@code GET /bookings} is idempotent. With outcome look-up, {@code GET /bookings/outcomes/{key}} gives the answer
 * of the booking that came with this {@code Idempotency-Key}, or 404 if none ran. {@code GET /record} gives every
 * execution with its headers and body. {@code POST /drain} with {@code {"draining":true}} makes it refuse new work.
 */
public final class BookingService implements StandIn {
    private static final String OUTCOMES = "/bookings/outcomes/";

    /**
     * Settings.
     *
     * @param delayMs time a booking takes; the booking is made at its end
     * @param outcomeLookup whether the outcome route exists
     */
    public record Settings(long delayMs, boolean outcomeLookup) {}

    private final Settings settings;
    private final List<ObjectNode> record = new ArrayList<>();
    private final Map<String, ObjectNode> outcomes = new HashMap<>();
    private int bookings;
    private boolean draining;
    private final StandInServer server;

    /** Starts it; port 0 lets the system choose. */
    public BookingService(InetSocketAddress listen, Settings settings) {
        this.settings = settings;
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
        if (call.is("GET", "/record")) {
            return record();
        }
        if (call.is("POST", "/drain")) {
            drain(call.json().path("draining").asBoolean(true));
            return Answer.ok();
        }
        if (isDraining()) {
            return Answer.json(503, Json.object().put("error", "draining").put("run", "not_run"));
        }
        if (call.is("GET", "/bookings")) {
            return list(call);
        }
        if (settings.outcomeLookup() && call.isUnder("GET", OUTCOMES)) {
            return outcome(call.after(OUTCOMES));
        }
        if (call.is("POST", "/bookings")) {
            call.json();
            long received = System.currentTimeMillis();
            Thread.sleep(settings.delayMs());
            return book(call, received);
        }
        return Answer.error(404, "no such route");
    }

    private synchronized Answer book(Call call, long received) throws BadCallException {
        bookings++;
        ObjectNode result =
                Json.object().put("booking", bookings).put("by", address().toString());
        result.set("request", call.json());
        execution(call).put("booking", bookings).put("received_ms", received);
        String key = call.header("Idempotency-Key");
        if (key != null) {
            outcomes.putIfAbsent(key, result);
        }
        return Answer.json(201, result);
    }

    private synchronized Answer list(Call call) {
        execution(call);
        return Answer.json(200, Json.object().put("bookings", bookings));
    }

    private synchronized Answer outcome(String key) {
        ObjectNode result = outcomes.get(key);
        return result == null ? Answer.error(404, "no such booking") : Answer.json(200, result);
    }

    private ObjectNode execution(Call call) {
        ObjectNode entry = Json.object()
                .put("method", call.method())
                .put("path", call.path())
                .put("at_ms", System.currentTimeMillis())
                .put("body", new String(call.body(), StandardCharsets.UTF_8));
        entry.set("headers", call.headersAsJson());
        ObjectNode query = entry.putObject("query");
        call.query().forEach(query::put);
        record.add(entry);
        return entry;
    }

    private synchronized Answer record() {
        return Answer.json(200, Json.array(record));
    }

    private synchronized boolean isDraining() {
        return draining;
    }

    private synchronized void drain(boolean on) {
        draining = on;
    }
}

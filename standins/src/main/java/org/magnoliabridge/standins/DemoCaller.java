package org.magnoliabridge.standins;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;

/** Calls the system as one team: chats, bookings with and without an idempotency key, lists, and calls to refuse. */
final class DemoCaller {
    private static final int MAX_ATTEMPTS = 6;
    private static final long RETRY_MS = 300;
    private static final long PAUSE_MS = 40;
    private static final AtomicLong NUMBERS = new AtomicLong();
    private static final String WRONG_SECRET = "0".repeat(64);

    private final DemoConfig config;
    private final DemoConfig.Member team;
    private final JsonClient client;
    private final NodeDirectory nodes;
    private final ObservationLog log;
    private final RandomGenerator random;

    DemoCaller(
            DemoConfig config,
            DemoConfig.Member team,
            JsonClient client,
            NodeDirectory nodes,
            ObservationLog log,
            RandomGenerator random) {
        this.config = config;
        this.team = team;
        this.client = client;
        this.nodes = nodes;
        this.log = log;
        this.random = random;
    }

    /** Calls until the end is set; a booking that was begun is asked for to its own end. */
    void run(AtomicBoolean end) throws InterruptedException {
        boolean stranger = team.role().equals("stranger");
        while (!end.get()) {
            if (stranger) {
                chat(team.key(), "refuse", false);
            } else {
                next();
            }
            Thread.sleep(PAUSE_MS);
        }
    }

    private void next() throws InterruptedException {
        switch (random.nextInt(8)) {
            case 0, 1 -> chat(team.key(), "ok", false);
            case 2, 3 -> chat(team.key(), "ok", true);
            case 4, 5 -> book(true);
            case 6 -> {
                book(false);
                list();
            }
            default -> {
                // A key with a wrong secret, and no key at all.
                chat(team.key().substring(0, team.key().lastIndexOf('_') + 1) + WRONG_SECRET, "refuse", false);
                chat("", "refuse", false);
            }
        }
    }

    private void chat(String key, String expect, boolean stream) throws InterruptedException {
        String marker = marker();
        ObjectNode body = Json.object()
                .put("model", config.model())
                .put("max_tokens", 4 + random.nextInt(40))
                .put("stream", stream);
        body.putArray("messages").addObject().put("role", "user").put("content", "Plan a session for " + marker);
        Map<String, String> headers = new LinkedHashMap<>(Map.of("Content-Type", "application/json"));
        String query = place(key, headers, body);
        CallAttempt attempt = new CallAttempt(client, nodes.pick(0), seen("chat", marker, expect, key));
        String path = "/v1/chat/completions" + (query.isEmpty() ? "" : "?" + query);
        log.add(
                stream
                        ? attempt.stream(path, headers, Json.text(body))
                        : attempt.whole("POST", path, headers, Json.text(body)));
    }

    // With an idempotency key a booking is asked for again until it is confirmed; without one it is asked for once.
    private void book(boolean withIdempotencyKey) throws InterruptedException {
        String marker = marker();
        ObjectNode body = Json.object().put("bench", random.nextInt(100)).put("note", marker);
        for (int i = 0; i < (withIdempotencyKey ? MAX_ATTEMPTS : 1); i++) {
            Map<String, String> headers = new LinkedHashMap<>(Map.of("Content-Type", "application/json"));
            if (withIdempotencyKey) {
                headers.put("Idempotency-Key", marker);
            }
            headers.put("Authorization", "Bearer " + team.key());
            ObjectNode seen = seen("booking", marker, "ok", team.key());
            seen.put("attempt", i).set("request", body);
            CallAttempt attempt = new CallAttempt(client, nodes.pick(i), seen);
            ObjectNode outcome = attempt.whole("POST", path("/bookings"), headers, Json.text(body));
            log.add(outcome);
            boolean refusedForGood = outcome.path("status").asInt() == 401;
            if (outcome.path("outcome").asText().equals("ok") || refusedForGood) {
                return;
            }
            Thread.sleep(RETRY_MS);
        }
    }

    private void list() throws InterruptedException {
        String marker = marker();
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Api-Key", team.key());
        CallAttempt attempt = new CallAttempt(client, nodes.pick(0), seen("list", marker, "ok", team.key()));
        log.add(attempt.whole("GET", path("/bookings?note=" + marker), headers, ""));
    }

    /** Puts the key in one of the places where callers may put it; returns the query. */
    private String place(String key, Map<String, String> headers, ObjectNode body) {
        if (key.isEmpty()) {
            return "";
        }
        switch (random.nextInt(5)) {
            case 0 -> headers.put("X-Api-Key", key);
            case 1 -> headers.put("Cookie", "theme=dark; api_key=" + key);
            case 2 -> body.put("api_key", key);
            case 3 -> {
                return "api_key=" + key;
            }
            default -> headers.put("Authorization", "Bearer " + key);
        }
        return "";
    }

    private ObjectNode seen(String kind, String marker, String expect, String key) {
        return Json.object()
                .put("kind", kind)
                .put("marker", marker)
                .put("team", team.team())
                .put("key_id", key.equals(team.key()) ? team.keyId() : "")
                .put("expect", expect);
    }

    private String path(String rest) {
        return "/services/" + config.plain() + rest;
    }

    private String marker() {
        return "m-" + team.team() + "-" + NUMBERS.incrementAndGet() + "-m";
    }
}

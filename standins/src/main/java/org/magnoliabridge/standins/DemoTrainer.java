package org.magnoliabridge.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Trains: asks for steps, fetches and acknowledges groups, and publishes new weights on the way. */
final class DemoTrainer {
    private static final int GROUPS = 6;
    private static final int SAMPLES = 4;
    private static final int MAX_TOKENS = 40;
    private static final int MAX_STALENESS = 1;
    private static final long STEP_DEADLINE_MS = 60_000;
    private static final long FETCH_WAIT_MS = 2_000;
    private static final long RETRY_MS = 300;

    private final DemoConfig config;
    private final DemoConfig.Member team;
    private final JsonClient client;
    private final NodeDirectory nodes;
    private final ObservationLog log;
    private final String run;
    private int attempt;
    private long version = 1;

    DemoTrainer(DemoConfig config, DemoConfig.Member team, JsonClient client, NodeDirectory nodes, ObservationLog log) {
        this.config = config;
        this.team = team;
        this.client = client;
        this.nodes = nodes;
        this.log = log;
        run = "run" + Long.toString(System.currentTimeMillis(), Character.MAX_RADIX);
    }

    /** Runs all steps; new weights are published in the middle of every second one. Returns whether all were whole. */
    boolean run() throws InterruptedException {
        for (int step = 1; step <= config.steps(); step++) {
            if (!step(step)) {
                return false;
            }
        }
        return true;
    }

    private boolean step(int step) throws InterruptedException {
        long start = System.nanoTime();
        long end = start + TimeUnit.MILLISECONDS.toNanos(STEP_DEADLINE_MS);
        ObjectNode spec = spec(step);
        while (!post(path(step, ""), spec)) {
            if (System.nanoTime() - end > 0) {
                return failed(step, "the step was not accepted");
            }
            Thread.sleep(RETRY_MS);
        }
        long cursor = 0;
        boolean published = step % 2 == 1;
        while (System.nanoTime() - end < 0) {
            List<ObjectNode> lines = new ArrayList<>();
            JsonNode last = fetch(step, cursor, spec, lines);
            if (last == null) {
                Thread.sleep(RETRY_MS);
                continue;
            }
            long next = last.path("cursor").asLong(cursor);
            boolean acknowledged = next == cursor
                    || post(
                            path(step, "/ack"),
                            Json.object().put("cursor", next).put("trainer_version", version));
            for (ObjectNode line : lines) {
                log.add(line.put("acknowledged", acknowledged));
            }
            cursor = acknowledged ? next : cursor;
            if (acknowledged && last.path("complete").asBoolean()) {
                log.add(done(step, spec).put("took_ms", (System.nanoTime() - start) / 1_000_000));
                return true;
            }
            if (!published && cursor > 0) {
                publish();
                published = true;
            }
        }
        return failed(step, "the step was not complete within its deadline");
    }

    /** Fetches groups after the cursor; returns the end line, or null if the answer was not whole. */
    private JsonNode fetch(int step, long cursor, ObjectNode spec, List<ObjectNode> lines) throws InterruptedException {
        String query = "/groups?cursor=" + cursor + "&trainer_version=" + version + "&wait_ms=" + FETCH_WAIT_MS;
        JsonNode end = null;
        try {
            HttpResponse<Stream<String>> answer = client.lines("GET", pick(), path(step, query), headers(), "");
            try (Stream<String> all = answer.body()) {
                for (String text : all.toList()) {
                    JsonNode line = new JsonClient.Reply(answer.statusCode(), text, Map.of()).json();
                    if (line.path("end").asBoolean()) {
                        end = line;
                    } else if (line.has("seq")) {
                        lines.add(offered(step, cursor, spec, line));
                    }
                }
            }
        } catch (IOException | UncheckedIOException e) {
            end = null;
        }
        if (end == null) {
            // What came without an end line is not delivered, but it was offered.
            lines.forEach(line -> log.add(line.put("acknowledged", false)));
            lines.clear();
        }
        return end;
    }

    private ObjectNode offered(int step, long cursor, ObjectNode spec, JsonNode line) {
        ObjectNode seen = line.deepCopy();
        seen.put("type", "delivery")
                .put("run", run)
                .put("step", step)
                .put("acknowledged_before", cursor)
                .put("trainer_version", version)
                .put("max_staleness", MAX_STALENESS);
        ObjectNode markers = seen.putObject("markers");
        spec.path("groups").forEach(group -> markers.put(group.path("group").asText(), marker(group)));
        return seen;
    }

    private ObjectNode spec(int step) {
        ObjectNode spec = Json.object()
                .put("step", step)
                .put("service", config.model())
                .put("trainer_version", version)
                .put("max_staleness", MAX_STALENESS)
                .put("deadline_ms", STEP_DEADLINE_MS)
                .put("samples_per_group", SAMPLES)
                .put("max_tokens", MAX_TOKENS);
        ArrayNode groups = spec.putArray("groups");
        for (int group = 0; group < GROUPS; group++) {

            groups.addObject()
                    .put("group", "g" + group)
                    .put("prompt", "Coach the group m-" + run + "s" + step + "-" + group + "-m and say why.");
        }
        return spec;
    }

    private static String marker(JsonNode group) {
        String prompt = group.path("prompt").asText();
        return prompt.substring(prompt.indexOf("m-"), prompt.indexOf("-m ") + 2);
    }

    private ObjectNode done(int step, ObjectNode spec) {
        ObjectNode line = Json.object().put("type", "step_done").put("run", run).put("step", step);
        ArrayNode groups = line.putArray("groups");
        spec.path("groups").forEach(group -> groups.add(group.path("group").asText()));
        return line.put("samples_per_group", SAMPLES);
    }

    private boolean failed(int step, String why) {
        log.add(Json.object()
                .put("type", "step_failed")
                .put("run", run)
                .put("step", step)
                .put("why", why));
        return false;
    }

    private void publish() throws InterruptedException {
        try {
            String body = Json.text(Json.object().put("version", version + 1));
            client.call("PUT", config.weights(), "/weights/" + config.model(), Map.of(), body);
            version++;
            log.add(Json.object()
                    .put("type", "published")
                    .put("version", version)
                    .put("at_ms", System.currentTimeMillis()));
        } catch (IOException e) {
            // The trainer trains on at its version and publishes at the next chance.
            log.add(Json.object().put("type", "publish_failed").put("why", String.valueOf(e.getMessage())));
        }
    }

    private boolean post(String path, ObjectNode body) throws InterruptedException {
        try {
            JsonClient.Reply reply = client.call("POST", pick(), path, headers(), Json.text(body));
            if (reply.status() >= 300) {
                log.add(Json.object()
                        .put("type", "trainer_refused")
                        .put("path", path)
                        .put("status", reply.status())
                        .put("answer", reply.text()));
            }
            return reply.status() < 300;
        } catch (IOException e) {
            return false;
        }
    }

    private InetSocketAddress pick() throws InterruptedException {
        return nodes.pick(attempt++);
    }

    private String path(int step, String rest) {
        return "/v1/rollouts/" + run + "/steps" + (rest.isEmpty() ? "" : "/" + step + rest);
    }

    private Map<String, String> headers() {
        return Map.of("Authorization", "Bearer " + team.key(), "Content-Type", "application/json");
    }
}

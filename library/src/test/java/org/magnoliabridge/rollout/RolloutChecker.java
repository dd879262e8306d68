package org.magnoliabridge.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.magnoliabridge.external.StoredObject;

/** Judges a world by the lines that a trainer sees, the JSON of step heads and the engine's own record. */
final class RolloutChecker {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final long PROMPT_WORDS = 2;

    private final FakeEngine engine;
    private final long maxStaleness;
    private final BiConsumer<Boolean, String> require;
    private final Map<String, String> lineBySeq = new HashMap<>();
    private final Map<String, Long> seenVersions = new HashMap<>();
    private final Map<String, Long> acknowledged = new HashMap<>();
    private final Map<String, long[]> due = new HashMap<>();
    private final Map<String, long[]> counted = new HashMap<>();
    private final Set<String> crashed = new HashSet<>();
    final Set<String> delivered = new HashSet<>();

    RolloutChecker(FakeEngine engine, long maxStaleness, BiConsumer<Boolean, String> require) {
        this.engine = engine;
        this.maxStaleness = maxStaleness;
        this.require = require;
    }

    static JsonNode parse(byte[] json) {
        try {
            return MAPPER.readTree(json);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A fetch answer was given. */
    void offered(long step, JsonNode line) {
        String before = lineBySeq.putIfAbsent(step + "/" + line.get("seq"), line.toString());
        require.accept(before == null || before.equals(line.toString()), "a seq was delivered with other bytes");
        for (JsonNode sample : line.get("samples")) {
            List<Long> named = new ArrayList<>();
            for (JsonNode range : sample.get("weight_versions")) {
                for (int i = range.get("from").asInt(); i < range.get("to").asInt(); i++) {
                    named.add(range.get("version").asLong());
                }
            }
            List<Long> used = engine.truth.get(sample.get("text").asText());
            require.accept(named.equals(used), "the named weight versions are not those that the engine used");
        }
    }

    /** The trainer was told that its cursor is acknowledged, and uses the line. */
    void delivered(long step, JsonNode line) {
        for (JsonNode sample : line.get("samples")) {
            String id = step + "/" + line.get("group") + "/" + sample.get("index");
            require.accept(delivered.add(id), "sample " + id + " was delivered twice");
        }
    }

    /** A process counted an acknowledgement of a step. */
    void counted(String process, String stepKey, long samples, long promptTokens, long completionTokens) {
        add(counted, process + " " + stepKey, samples, promptTokens, completionTokens);
    }

    void crashed(String process) {
        crashed.add(process);
    }

    /**
     * Returns whether each process has counted exactly the groups that its own requests acknowledged. A process that
     * crashed may have counted less, because it may have died between its conditional update and its answer.
     */
    boolean isUsageComplete() {
        return due.keySet().stream()
                .allMatch(k ->
                        crashed.contains(k.substring(0, k.indexOf(' '))) || Arrays.equals(due.get(k), counted.get(k)));
    }

    /** Requires that no process counts what its requests did not acknowledge. */
    void checkUsage() {
        counted.forEach((key, figures) -> {
            long[] limit = due.getOrDefault(key, new long[3]);
            boolean within = figures[0] <= limit[0] && figures[1] <= limit[1] && figures[2] <= limit[2];
            require.accept(within, "an acknowledged group was counted more than once");
        });
    }

    private static void add(Map<String, long[]> map, String key, long... figures) {
        long[] sum = map.computeIfAbsent(key, k -> new long[3]);
        for (int i = 0; i < figures.length; i++) {
            sum[i] += figures[i];
        }
    }

    /** Adds what the newest acknowledgement of a head delivered, from the lines that trainers were given. */
    private void acknowledgedBy(String key, JsonNode head, long from, long cursor) {
        JsonNode moves = head.get("acknowledgements");
        String token = moves.get(moves.size() - 1).get("token").asText();
        String owner = token.substring(0, token.lastIndexOf('.')) + " " + key;
        String step = key.substring(key.lastIndexOf('/') + 1);
        for (JsonNode entry : head.get("entries")) {
            long seq = entry.get("seq").asLong();
            if (seq > from && seq <= cursor && entry.get("replaced_at").asLong() == 0) {
                for (JsonNode sample : parse(lineBySeq.get(step + "/" + seq).getBytes(StandardCharsets.UTF_8))
                        .get("samples")) {
                    add(due, owner, 1, PROMPT_WORDS, sample.get("tokens").asLong());
                }
            }
        }
    }

    /** Checks the bound whenever an acknowledged cursor has moved, against the version that the same write names. */
    void stored(StoredObject object) {
        String key = object.key().value();
        Long seen = seenVersions.put(key, object.version());
        if (seen != null && seen == object.version()) {
            return;
        }
        if (!key.startsWith("steps/")) {
            require.accept(seen == null, "a stored group was overwritten");
            return;
        }
        JsonNode head = parse(object.value());
        long cursor = head.get("acknowledged").asLong();
        long before = acknowledged.getOrDefault(key, 0L);
        require.accept(cursor >= before, "an acknowledgement was undone");
        for (JsonNode entry : head.get("entries")) {
            long seq = entry.get("seq").asLong();
            if (seq > before && seq <= cursor && entry.get("replaced_at").asLong() == 0) {
                long age = head.get("trainer_version").asLong()
                        - entry.get("min_version").asLong();
                require.accept(age <= maxStaleness, "a sample was older than the bound when it was delivered");
            }
        }
        if (cursor > before) {
            acknowledgedBy(key, head, before, cursor);
        }
        acknowledged.put(key, cursor);
    }
}

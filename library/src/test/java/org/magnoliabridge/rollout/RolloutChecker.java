package org.magnoliabridge.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.magnoliabridge.platform.StoredObject;

/** Judges a world by the lines that a trainer sees, the JSON of step heads and the engine's own record. */
final class RolloutChecker {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final FakeEngine engine;
    private final long maxStaleness;
    private final BiConsumer<Boolean, String> require;
    private final Map<String, String> lineBySeq = new HashMap<>();
    private final Map<String, Long> seenVersions = new HashMap<>();
    private final Map<String, Long> acknowledged = new HashMap<>();
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
        acknowledged.put(key, cursor);
    }
}

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

/** Checks the invariants of a rollout from fetched lines, the JSON of step heads and the engine's own record. */
final class RolloutChecker {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final long PROMPT_WORDS = 2;

    private final FakeEngine engine;
    private final long maxStaleness;
    private final BiConsumer<Boolean, String> require;
    private final Map<String, String> lineBySeq = new HashMap<>();
    private final Map<String, Long> objectVersions = new HashMap<>();
    private final Map<String, Long> acknowledgedCursors = new HashMap<>();
    private final Map<String, long[]> expectedUsage = new HashMap<>();
    private final Map<String, long[]> countedUsage = new HashMap<>();
    private final Set<String> crashedProcesses = new HashSet<>();
    final Set<String> deliveredSamples = new HashSet<>();

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

    /** Checks a line of a fetch answer. */
    void checkLine(long step, JsonNode line) {
        String before = lineBySeq.putIfAbsent(step + "/" + line.get("seq"), line.toString());
        require.accept(before == null || before.equals(line.toString()), "a seq was delivered with different content");
        for (JsonNode sample : line.get("samples")) {
            List<Long> reported = new ArrayList<>();
            for (JsonNode range : sample.get("weight_versions")) {
                for (int i = range.get("from").asInt(); i < range.get("to").asInt(); i++) {
                    reported.add(range.get("version").asLong());
                }
            }
            List<Long> used = engine.versionsByText.get(sample.get("text").asText());
            require.accept(
                    reported.equals(used), "the reported weight versions differ from those that the engine used");
        }
    }

    /** Records that the trainer uses a line after its acknowledgement was confirmed. */
    void delivered(long step, JsonNode line) {
        for (JsonNode sample : line.get("samples")) {
            String id = step + "/" + line.get("group") + "/" + sample.get("index");
            require.accept(deliveredSamples.add(id), "sample " + id + " was delivered twice");
        }
    }

    /** Records the usage that a process counted for an acknowledgement. */
    void counted(String process, String stepKey, long samples, long promptTokens, long completionTokens) {
        add(countedUsage, process + " " + stepKey, samples, promptTokens, completionTokens);
    }

    void crashed(String process) {
        crashedProcesses.add(process);
    }

    /**
     * Returns whether each process has counted exactly the groups that its own requests acknowledged. A process that
     * crashed may have counted less, because it may have crashed between its conditional update and its answer.
     */
    boolean isUsageComplete() {
        return expectedUsage.keySet().stream()
                .allMatch(k -> crashedProcesses.contains(k.substring(0, k.indexOf(' ')))
                        || Arrays.equals(expectedUsage.get(k), countedUsage.get(k)));
    }

    /** Requires that no process counts more usage than its requests acknowledged. */
    void checkUsage() {
        countedUsage.forEach((key, counted) -> {
            long[] expected = expectedUsage.getOrDefault(key, new long[3]);
            boolean within = counted[0] <= expected[0] && counted[1] <= expected[1] && counted[2] <= expected[2];
            require.accept(within, "an acknowledged group was counted more than once");
        });
    }

    private static void add(Map<String, long[]> map, String key, long... counts) {
        long[] sum = map.computeIfAbsent(key, k -> new long[3]);
        for (int i = 0; i < counts.length; i++) {
            sum[i] += counts[i];
        }
    }

    /** Adds the usage of the newest acknowledgement in a head to the expected usage, from the fetched lines. */
    private void addExpectedUsage(String key, JsonNode head, long from, long cursor) {
        JsonNode acknowledgements = head.get("acknowledgements");
        String token =
                acknowledgements.get(acknowledgements.size() - 1).get("token").asText();
        String processAndStep = token.substring(0, token.lastIndexOf('.')) + " " + key;
        String step = key.substring(key.lastIndexOf('/') + 1);
        for (JsonNode entry : head.get("entries")) {
            long seq = entry.get("seq").asLong();
            if (seq > from && seq <= cursor && entry.get("replaced_at").asLong() == 0) {
                for (JsonNode sample : parse(lineBySeq.get(step + "/" + seq).getBytes(StandardCharsets.UTF_8))
                        .get("samples")) {
                    add(
                            expectedUsage,
                            processAndStep,
                            1,
                            PROMPT_WORDS,
                            sample.get("tokens").asLong());
                }
            }
        }
    }

    /** Checks a stored object; newly acknowledged entries must not be too old for the head's trainer version. */
    void checkStored(StoredObject object) {
        String key = object.key().value();
        Long previous = objectVersions.put(key, object.version());
        if (previous != null && previous == object.version()) {
            return;
        }
        if (!key.startsWith("steps/")) {
            require.accept(previous == null, "a stored group was overwritten");
            return;
        }
        JsonNode head = parse(object.value());
        long cursor = head.get("acknowledged").asLong();
        long before = acknowledgedCursors.getOrDefault(key, 0L);
        require.accept(cursor >= before, "the acknowledged cursor moved back from " + before + " to " + cursor);
        for (JsonNode entry : head.get("entries")) {
            long seq = entry.get("seq").asLong();
            if (seq > before && seq <= cursor && entry.get("replaced_at").asLong() == 0) {
                long age = head.get("trainer_version").asLong()
                        - entry.get("min_version").asLong();
                require.accept(age <= maxStaleness, "a sample exceeded the maximum staleness when it was delivered");
            }
        }
        if (cursor > before) {
            addExpectedUsage(key, head, before, cursor);
        }
        acknowledgedCursors.put(key, cursor);
    }
}

package org.magnoliabridge.usage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import org.magnoliabridge.external.StoredObject;

/** Checks a simulation by its deliveries, the JSON of the sealed windows and the reports that the platform got. */
final class UsageChecker {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Upper bound of the time before a node's crash whose counts may be lost. */
    private static final long LOSS_BOUND_MS = 1_000;

    /** Requests and tokens that each process delivered, by time. */
    private final Map<String, TreeMap<Long, long[]>> delivered = new HashMap<>();

    private final Map<String, Long> crashTimes = new HashMap<>();
    private final Map<Long, byte[]> reports = new HashMap<>();
    private final Map<String, Long> storedVersions = new HashMap<>();
    private final BiConsumer<Boolean, String> require;

    UsageChecker(BiConsumer<Boolean, String> require) {
        this.require = require;
    }

    void recordDelivery(String process, long nowMs, long tokens) {
        long[] sum = delivered.computeIfAbsent(process, p -> new TreeMap<>()).computeIfAbsent(nowMs, t -> new long[2]);
        sum[0]++;
        sum[1] += tokens;
    }

    void recordCrash(String process, long nowMs) {
        crashTimes.put(process, nowMs);
    }

    /** Records a report that has reached the platform, and returns whether it is accepted. */
    boolean recordReport(long window, byte[] body, StoredObject sealed) {
        require.accept(
                sealed != null && Arrays.equals(body, sealed.value()), "a report differs from the sealed record");
        byte[] earlier = reports.putIfAbsent(window, body);
        boolean same = earlier == null || Arrays.equals(earlier, body);
        require.accept(same, "a window was reported twice with different counts");
        return same;
    }

    boolean isReported(long window) {
        return reports.containsKey(window);
    }

    void checkStoredObject(StoredObject object) {
        Long before = storedVersions.put(object.key().value(), object.version());
        boolean sealed = object.key().value().startsWith("usage/");
        require.accept(!sealed || before == null || before == object.version(), "a sealed window was overwritten");
    }

    /** Checks that each request is in exactly one sealed window; a crashed process may miss its last second. */
    void checkTotals(Iterable<StoredObject> sealed) {
        Map<String, long[]> counted = new HashMap<>();
        for (StoredObject object : sealed) {
            add(object, counted);
        }
        counted.keySet()
                .forEach(process -> require.accept(
                        delivered.containsKey(process), "a sealed window has counts of an unknown process"));
        delivered.forEach((process, times) -> {
            long[] sum = counted.getOrDefault(process, new long[2]);
            long[] all = sum(times);
            Long death = crashTimes.get(process);
            long[] late = death == null ? new long[2] : sum(times.tailMap(death - LOSS_BOUND_MS, true));
            for (int i = 0; i < sum.length; i++) {
                require.accept(sum[i] <= all[i], "a request was counted twice");
                require.accept(sum[i] >= all[i] - late[i], "a request was not counted");
            }
        });
    }

    private void add(StoredObject object, Map<String, long[]> counted) {
        JsonNode node = parse(object.value());
        Map<String, Long> byTeam = new HashMap<>();
        for (String list : new String[] {"counts", "carried"}) {
            for (JsonNode count : node.get(list)) {
                String process = count.get("node").asText() + "/" + count.get("incarnation");
                long[] sum = counted.computeIfAbsent(process, p -> new long[2]);
                sum[0] += count.get("requests").asLong();
                sum[1] += count.get("completion_tokens").asLong();
                byTeam.merge(count.get("team").asText(), count.get("requests").asLong(), Long::sum);
            }
        }
        for (JsonNode figure : node.get("figures")) {
            Long sum = byTeam.remove(figure.get("team").asText());
            require.accept(
                    sum != null && sum == figure.get("requests").asLong(), "billed counts are not the sum of counters");
        }
        require.accept(byTeam.isEmpty(), "a team is missing from the billed counts");
    }

    private static long[] sum(Map<Long, long[]> times) {
        return times.values().stream().reduce(new long[2], (a, b) -> new long[] {a[0] + b[0], a[1] + b[1]});
    }

    private static JsonNode parse(byte[] json) {
        try {
            return MAPPER.readTree(json);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}

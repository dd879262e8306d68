package org.magnoliabridge.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * What callers and trainer saw, and what the stand-ins recorded.
 *
 * <p>Files of a run's folder: {@code observed.ndjson} (callers, trainer, watcher), {@code events.ndjson} (what the
 * script did), {@code keys.json} (key id to key), and {@code records/} with {@code engine-<id>.json}, {@code
 * bookings-<id>.json}, {@code orders.json} and {@code usage.json}.
 */
final class DemoRecords {
    private static final Pattern MARKER = Pattern.compile("m-[A-Za-z0-9]+-\\d+-m");

    /** One run of a request at a back end. */
    record Execution(String endpoint, String marker, String method, long receivedMs, JsonNode record) {}

    /** Where a token came from. */
    record Origin(Execution generation, int index) {
        long version() {
            return generation.record().path("versions").path(index).asLong();
        }
    }

    private final List<JsonNode> observed = new ArrayList<>();
    private final List<JsonNode> events = new ArrayList<>();
    private final List<JsonNode> orders = new ArrayList<>();
    private final List<JsonNode> engineOrders = new ArrayList<>();
    private final List<JsonNode> usage = new ArrayList<>();
    private final Map<String, String> keys = new HashMap<>();
    private final List<Execution> executions = new ArrayList<>();
    private final Map<String, List<Execution>> byMarker = new HashMap<>();
    private final Map<String, Origin> tokens = new HashMap<>();

    /** Reads a run's folder; a missing file is as good as an empty one, and its invariants are not exercised. */
    static DemoRecords read(Path folder) throws IOException, BadCallException {
        DemoRecords records = new DemoRecords();
        records.observed.addAll(lines(folder.resolve("observed.ndjson")));
        records.events.addAll(lines(folder.resolve("events.ndjson")));
        Path keyFile = folder.resolve("keys.json");
        if (Files.exists(keyFile)) {
            Json.parse(Files.readAllBytes(keyFile))
                    .properties()
                    .forEach(
                            key -> records.keys.put(key.getKey(), key.getValue().asText()));
        }
        Path recordFolder = folder.resolve("records");
        if (Files.isDirectory(recordFolder)) {
            List<Path> files;
            try (Stream<Path> all = Files.list(recordFolder)) {
                files = all.sorted().toList();
            }
            for (Path file : files) {
                records.add(file.getFileName().toString().replace(".json", ""), Json.parse(Files.readAllBytes(file)));
            }
        }
        return records;
    }

    /** Adds a stand-in's record under its name, for example {@code engine-e1}. */
    void add(String name, JsonNode record) {
        if (name.startsWith("engine-")) {
            record.path("generations").forEach(entry -> addGeneration(name.substring("engine-".length()), entry));
            record.path("orders").forEach(engineOrders::add);
        } else if (name.startsWith("bookings-")) {
            record.forEach(entry -> addExecution(execution(
                    name.substring("bookings-".length()),
                    entry.path("body").asText() + entry.path("query"),
                    entry.path("method").asText(),
                    entry.path("received_ms").asLong(entry.path("at_ms").asLong()),
                    entry)));
        } else if (name.equals("orders")) {
            record.forEach(orders::add);
        } else if (name.equals("usage")) {
            record.forEach(usage::add);
        }
    }

    void observe(JsonNode line) {
        observed.add(line);
    }

    void event(JsonNode line) {
        events.add(line);
    }

    void key(String id, String text) {
        keys.put(id, text);
    }

    List<JsonNode> observed(String type) {
        return observed.stream()
                .filter(line -> line.path("type").asText().equals(type))
                .toList();
    }

    List<JsonNode> events(String what) {
        return events.stream()
                .filter(line -> line.path("what").asText().equals(what))
                .toList();
    }

    List<JsonNode> orders() {
        return orders;
    }

    List<JsonNode> engineOrders() {
        return engineOrders;
    }

    List<JsonNode> usage() {
        return usage;
    }

    Map<String, String> keys() {
        return keys;
    }

    List<Execution> executions() {
        return executions;
    }

    List<Execution> executions(String marker) {
        return byMarker.getOrDefault(marker, List.of());
    }

    /** Returns where a token came from, or null if no engine produced it. */
    Origin origin(String token) {
        return tokens.get(token);
    }

    /** Returns the tokens of a text as the engines' tokens are: words, each followed by a space. */
    static List<String> tokensOf(String text) {
        return text.isBlank() ? List.of() : List.of(text.strip().split("\\s+", -1));
    }

    private void addGeneration(String engine, JsonNode entry) {
        Execution execution = execution(
                engine,
                entry.path("prompt").asText(),
                "GENERATE",
                entry.path("received_ms").asLong(),
                entry);
        addExecution(execution);
        for (int i = 0; i < entry.path("tokens").size(); i++) {
            tokens.put(entry.path("tokens").get(i).asText().strip(), new Origin(execution, i));
        }
    }

    private static Execution execution(String endpoint, String text, String method, long receivedMs, JsonNode entry) {
        Matcher marker = MARKER.matcher(text);
        return new Execution(endpoint, marker.find() ? marker.group() : "", method, receivedMs, entry);
    }

    private void addExecution(Execution execution) {
        executions.add(execution);
        byMarker.computeIfAbsent(execution.marker(), marker -> new ArrayList<>())
                .add(execution);
    }

    private static List<JsonNode> lines(Path file) throws IOException, BadCallException {
        List<JsonNode> all = new ArrayList<>();
        if (Files.exists(file)) {
            for (String line : Files.readAllLines(file)) {
                if (!line.isBlank()) {
                    all.add(Json.parse(line.getBytes(StandardCharsets.UTF_8)));
                }
            }
        }
        return all;
    }
}

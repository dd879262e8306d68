package org.magnoliabridge.batch;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliabridge.gateway.BatchTerms;
import org.magnoliabridge.ids.BatchId;
import org.magnoliabridge.ids.GroupId;
import org.magnoliabridge.ids.ItemId;
import org.magnoliabridge.ids.ModelId;
import org.magnoliabridge.ids.RequestId;
import org.magnoliabridge.ids.RouteId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.ids.WeightVersion;

/** Serializes the stored records of batches to JSON and parses them. */
public final class BatchCodec {
    private static final ObjectMapper JSON = new ObjectMapper();

    private BatchCodec() {}

    /** Converts the JSON tree of a record; unchecked exceptions of the id types are caught by the caller. */
    @FunctionalInterface
    private interface Reader<T> {
        T read(JsonNode node) throws MalformedBatchException;
    }

    /** Serializes a head to JSON. */
    public static byte[] head(BatchHead head) {
        ObjectNode node = JSON.createObjectNode();
        node.put("id", head.id().value());
        node.put("team", head.team().value());
        node.put("route", head.route().value());
        node.put("config_version", head.configVersion());
        node.put("host", head.host());
        head.model().ifPresent(m -> node.put("model", m.value()));
        head.minVersion().ifPresent(v -> node.put("min_version", v.value()));
        node.put("wanted_groups", head.wantedGroups());
        node.put("due_ms", head.terms().dueMs());
        node.put("give_up_ms", head.terms().giveUpMs());
        node.put("single_version", head.terms().singleVersion());
        node.put("max_attempts", head.maxAttempts());
        node.put("submitted_ms", head.submittedAtMs());
        node.put("items", head.items());
        node.put("parts", head.parts());
        node.put("ended", head.ended());
        return bytes(node);
    }

    /** Parses a head. */
    public static BatchHead head(byte[] value) throws MalformedBatchException {
        return read(
                value,
                node -> new BatchHead(
                        new BatchId(text(node, "id")),
                        new TeamId(text(node, "team")),
                        new RouteId(text(node, "route")),
                        node.path("config_version").asLong(),
                        text(node, "host"),
                        optional(node, "model").map(m -> new ModelId(m.asText())),
                        optional(node, "min_version").map(v -> new WeightVersion(v.asLong())),
                        node.path("wanted_groups").asInt(),
                        new BatchTerms(
                                node.path("due_ms").asLong(),
                                node.path("give_up_ms").asLong(),
                                node.path("single_version").asBoolean()),
                        node.path("max_attempts").asInt(),
                        node.path("submitted_ms").asLong(),
                        node.path("items").asInt(),
                        node.path("parts").asInt(),
                        node.path("ended").asBoolean()));
    }

    /** Serializes items to JSON. */
    public static byte[] items(List<BatchItem> items) {
        ArrayNode array = JSON.createArrayNode();
        for (BatchItem item : items) {
            ObjectNode node = array.addObject();
            node.put("id", item.id().value());
            node.put("group", item.group().value());
            node.put("path", item.path());
            ObjectNode headers = node.putObject("headers");
            item.headers().forEach(headers::put);
            node.put("body", item.body());
            node.put("prompt_tokens", item.promptTokens());
            node.put("tokens", item.maxTotalTokens());
            node.put("expected_tokens", item.expectedTokens());
            item.scorer().ifPresent(s -> addScorer(node, s));
        }
        return bytes(array);
    }

    private static void addScorer(ObjectNode item, ScoreRequest scorer) {
        ObjectNode node = item.putObject("scorer");
        node.put("id", scorer.id().value());
        node.put("host", scorer.host());
        node.put("path", scorer.path());
        node.put("body", scorer.body());
    }

    /** Parses items. */
    public static List<BatchItem> items(byte[] value) throws MalformedBatchException {
        return read(value, array -> {
            List<BatchItem> items = new ArrayList<>();
            for (JsonNode node : array) {
                items.add(item(node));
            }
            return items;
        });
    }

    /** Serializes a segment of the result log to JSON; its writer identifies the append. */
    public static byte[] segment(ResultSegment segment) {
        ObjectNode root = JSON.createObjectNode();
        root.put("writer", segment.writer().process());
        root.put("number", segment.writer().number());
        root.put("claim", segment.claim());
        ArrayNode array = root.putArray("results");
        for (ItemResult result : segment.results()) {
            ObjectNode node = array.addObject();
            node.put("item", result.item().value());
            node.put("completed", result.completed());
            node.put("text", result.text());
            ArrayNode versions = node.putArray("versions");
            result.versions().forEach(v -> versions.add(v.value()));
            result.score().ifPresent(s -> node.put("score", s));
        }
        ArrayNode texts = root.putArray("texts");
        segment.texts().forEach(t -> addText(texts, t));
        return bytes(root);
    }

    private static void addText(ArrayNode texts, PartialText text) {
        ObjectNode node = texts.addObject();
        node.put("item", text.item().value());
        node.put("first", text.events().getFirst().number());
        ArrayNode data = node.putArray("data");
        ArrayNode versions = node.putArray("versions");
        for (Transcript.Event event : text.events()) {
            data.add(event.data());
            versions.add(event.version().value());
        }
    }

    private static PartialText text(JsonNode node) throws MalformedBatchException {
        List<Transcript.Event> events = new ArrayList<>();
        JsonNode data = node.path("data");
        for (int i = 0; i < data.size(); i++) {
            WeightVersion version =
                    new WeightVersion(node.path("versions").path(i).asLong());
            events.add(new Transcript.Event(
                    node.path("first").asLong() + i, data.get(i).asText(), version));
        }
        return new PartialText(new ItemId(text(node, "item")), events);
    }

    /** Parses a segment of the result log. */
    public static ResultSegment segment(byte[] value) throws MalformedBatchException {
        return read(value, root -> {
            List<ItemResult> results = new ArrayList<>();
            for (JsonNode node : root.path("results")) {
                List<WeightVersion> versions = new ArrayList<>();
                node.path("versions").forEach(v -> versions.add(new WeightVersion(v.asLong())));
                results.add(new ItemResult(
                        new ItemId(text(node, "item")),
                        node.path("completed").asBoolean(),
                        text(node, "text"),
                        versions,
                        node.hasNonNull("score") ? Optional.of(text(node, "score")) : Optional.empty()));
            }
            List<PartialText> texts = new ArrayList<>();
            for (JsonNode node : root.path("texts")) {
                texts.add(text(node));
            }
            ResultSegment.Writer writer = new ResultSegment.Writer(
                    text(root, "writer"), root.path("number").asInt());
            return new ResultSegment(writer, results, texts, root.path("claim").asBoolean());
        });
    }

    private static BatchItem item(JsonNode node) throws MalformedBatchException {
        Map<String, String> headers = new LinkedHashMap<>();
        node.path("headers")
                .properties()
                .forEach(h -> headers.put(h.getKey(), h.getValue().asText()));
        try {
            return new BatchItem(
                    new ItemId(text(node, "id")),
                    new GroupId(text(node, "group")),
                    text(node, "path"),
                    headers,
                    node.path("body").binaryValue(),
                    node.path("prompt_tokens").asLong(),
                    node.path("tokens").asLong(),
                    node.path("expected_tokens").asLong(),
                    node.hasNonNull("scorer") ? Optional.of(scorer(node.get("scorer"))) : Optional.empty());
        } catch (IOException e) {
            throw new MalformedBatchException("body of a batch item is not valid base64", e);
        }
    }

    private static ScoreRequest scorer(JsonNode node) throws IOException, MalformedBatchException {
        return new ScoreRequest(
                new RequestId(text(node, "id")),
                text(node, "host"),
                text(node, "path"),
                node.path("body").binaryValue());
    }

    private static <T> T read(byte[] value, Reader<T> reader) throws MalformedBatchException {
        try {
            return reader.read(JSON.readTree(value));
        } catch (IOException | IllegalArgumentException | NullPointerException e) {
            throw new MalformedBatchException("stored record of a batch is not valid JSON or has an invalid field", e);
        }
    }

    private static String text(JsonNode node, String field) throws MalformedBatchException {
        JsonNode value = node.path(field);
        if (!value.isTextual()) {
            throw new MalformedBatchException("field " + field + " is missing or not a string");
        }
        return value.textValue();
    }

    private static Optional<JsonNode> optional(JsonNode node, String field) {
        return node.hasNonNull(field) ? Optional.of(node.get(field)) : Optional.empty();
    }

    private static byte[] bytes(JsonNode node) {
        try {
            return JSON.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("JSON tree cannot be serialized", e);
        }
    }
}

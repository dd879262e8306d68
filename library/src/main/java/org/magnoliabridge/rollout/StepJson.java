package org.magnoliabridge.rollout;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.WeightVersion;

/** Encodes and parses steps, step heads and group bodies as JSON. */
public final class StepJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private StepJson() {}

    @FunctionalInterface
    private interface Parser<T> {
        T parse(JsonNode node) throws MalformedStepException;
    }

    /**
     * Parses a step specification from a request body.
     *
     * @throws MalformedStepException if a field is missing or out of range
     */
    public static StepSpec spec(byte[] json) throws MalformedStepException {
        return parse(json, StepJson::spec);
    }

    /**
     * Parses the step number from a request body.
     *
     * @throws MalformedStepException if it is missing or negative
     */
    public static long step(byte[] json) throws MalformedStepException {
        long step = parse(json, node -> longField(node, "step"));
        if (step < 0) {
            throw new MalformedStepException("step must not be negative", null);
        }
        return step;
    }

    static byte[] head(StepHead head) {
        ObjectNode node = MAPPER.createObjectNode();
        node.set("spec", specNode(head.spec()));
        node.put("opened_ms", head.openedMs()).put("position", head.position());
        node.put("acknowledged", head.acknowledged()).put("trainer_version", head.trainerVersion());
        ArrayNode entries = node.putArray("entries");
        for (GroupEntry e : head.entries()) {
            ObjectNode entry = entries.addObject().put("seq", e.seq());
            entry.put("group", e.group()).put("attempt", e.attempt()).put("digest", e.digest());
            entry.put("min_version", e.minVersion()).put("replaced_at", e.replacedAt());
            entry.put("samples", e.usage().samples());
            entry.put("prompt_tokens", e.usage().promptTokens());
            entry.put("completion_tokens", e.usage().completionTokens());
        }
        ArrayNode acknowledgements = node.putArray("acknowledgements");
        for (AckRecord a : head.acknowledgements()) {
            acknowledgements
                    .addObject()
                    .put("from", a.from())
                    .put("cursor", a.cursor())
                    .put("token", a.token());
        }
        return bytes(node);
    }

    static StepHead head(byte[] json) throws MalformedStepException {
        return parse(json, node -> {
            List<GroupEntry> entries = new ArrayList<>();
            for (JsonNode e : requiredField(node, "entries")) {
                entries.add(new GroupEntry(
                        longField(e, "seq"),
                        textField(e, "group"),
                        intField(e, "attempt"),
                        textField(e, "digest"),
                        longField(e, "min_version"),
                        new DeliveredUsage(
                                longField(e, "samples"),
                                longField(e, "prompt_tokens"),
                                longField(e, "completion_tokens")),
                        longField(e, "replaced_at")));
            }
            List<AckRecord> acknowledgements = new ArrayList<>();
            for (JsonNode a : requiredField(node, "acknowledgements")) {
                acknowledgements.add(
                        new AckRecord(longField(a, "from"), longField(a, "cursor"), textField(a, "token")));
            }
            return new StepHead(
                    spec(requiredField(node, "spec")),
                    longField(node, "opened_ms"),
                    longField(node, "position"),
                    longField(node, "acknowledged"),
                    longField(node, "trainer_version"),
                    entries,
                    acknowledgements);
        });
    }

    static byte[] body(GroupBody body) {
        ObjectNode node = MAPPER.createObjectNode().put("group", body.group()).put("attempt", body.attempt());
        ArrayNode samples = node.putArray("samples");
        for (Sample s : body.samples()) {
            ObjectNode sample = samples.addObject().put("index", s.index()).put("text", s.text());
            sample.put("tokens", s.tokens()).put("score", s.score());
            ArrayNode versions = sample.putArray("weight_versions");
            for (WeightRange r : s.weightVersions()) {
                ObjectNode range = versions.addObject().put("from", r.from()).put("to", r.to());
                range.put("version", r.version().value());
            }
        }
        return bytes(node);
    }

    static GroupBody body(byte[] json) throws MalformedStepException {
        return parse(json, node -> {
            List<Sample> samples = new ArrayList<>();
            for (JsonNode s : requiredField(node, "samples")) {
                samples.add(sample(s));
            }
            return new GroupBody(textField(node, "group"), intField(node, "attempt"), samples);
        });
    }

    /** Encodes a group as a line of a fetch answer: its body with its sequence number and digest. */
    public static byte[] line(DeliveryEffect.Line line) throws MalformedStepException {
        return parse(line.body(), node -> {
            ObjectNode out = MAPPER.createObjectNode().put("seq", line.seq());
            out.set("group", requiredField(node, "group"));
            out.set("attempt", requiredField(node, "attempt"));
            out.put("digest", line.digest());
            out.set("samples", requiredField(node, "samples"));
            return bytes(out);
        });
    }

    static byte[] manifest(StoredBody.Manifest manifest) {
        ObjectNode node = MAPPER.createObjectNode().put("parts", manifest.parts());
        node.put("digest", manifest.digest()).put("min_version", manifest.minVersion());
        return bytes(node.put("tokens", manifest.tokens()));
    }

    /** Returns the manifest, or null if the bytes are a complete body. */
    static StoredBody.Manifest manifest(byte[] json) throws MalformedStepException {
        return parse(
                json,
                node -> node.has("parts")
                        ? new StoredBody.Manifest(
                                intField(node, "parts"),
                                textField(node, "digest"),
                                longField(node, "min_version"),
                                longField(node, "tokens"))
                        : null);
    }

    static String digest(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    private static Sample sample(JsonNode node) throws MalformedStepException {
        List<WeightRange> ranges = new ArrayList<>();
        for (JsonNode r : requiredField(node, "weight_versions")) {
            ranges.add(new WeightRange(
                    intField(r, "from"), intField(r, "to"), new WeightVersion(longField(r, "version"))));
        }
        double score = requiredField(node, "score").asDouble();
        return new Sample(intField(node, "index"), textField(node, "text"), intField(node, "tokens"), score, ranges);
    }

    private static ObjectNode specNode(StepSpec spec) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("service", spec.service().value()).put("trainer_version", spec.trainerVersion());
        node.put("max_staleness", spec.maxStaleness()).put("deadline_ms", spec.deadlineMs());
        node.put("samples_per_group", spec.samplesPerGroup()).put("max_tokens", spec.maxTokens());
        ArrayNode groups = node.putArray("groups");
        spec.groups().forEach(g -> groups.addObject().put("group", g.id()).put("prompt", g.prompt()));
        return node;
    }

    private static StepSpec spec(JsonNode node) throws MalformedStepException {
        List<StepSpec.Group> groups = new ArrayList<>();
        for (JsonNode g : requiredField(node, "groups")) {
            groups.add(new StepSpec.Group(groupId(g), textField(g, "prompt")));
        }
        return new StepSpec(
                new ServiceId(textField(node, "service")),
                longField(node, "trainer_version"),
                longField(node, "max_staleness"),
                longField(node, "deadline_ms"),
                intField(node, "samples_per_group"),
                intField(node, "max_tokens"),
                groups);
    }

    // Trainers send a group id as a string or as an integer.
    private static String groupId(JsonNode node) throws MalformedStepException {
        return requiredField(node, "group").isIntegralNumber()
                ? Long.toString(longField(node, "group"))
                : textField(node, "group");
    }

    private static <T> T parse(byte[] json, Parser<T> parser) throws MalformedStepException {
        try {
            return parser.parse(MAPPER.readTree(json));
        } catch (IOException | IllegalArgumentException e) {
            throw new MalformedStepException("malformed: " + e.getMessage(), e);
        }
    }

    private static JsonNode requiredField(JsonNode node, String name) throws MalformedStepException {
        JsonNode value = node == null ? null : node.get(name);
        if (value == null || value.isNull()) {
            throw new MalformedStepException("field " + name + " is missing", null);
        }
        return value;
    }

    private static long longField(JsonNode node, String name) throws MalformedStepException {
        JsonNode value = requiredField(node, name);
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw new MalformedStepException("field " + name + " must be a whole number", null);
        }
        return value.longValue();
    }

    private static int intField(JsonNode node, String name) throws MalformedStepException {
        long value = longField(node, name);
        if (value != (int) value) {
            throw new MalformedStepException("field " + name + " is out of range", null);
        }
        return (int) value;
    }

    private static String textField(JsonNode node, String name) throws MalformedStepException {
        JsonNode value = requiredField(node, name);
        if (!value.isTextual()) {
            throw new MalformedStepException("field " + name + " must be text", null);
        }
        return value.textValue();
    }

    private static byte[] bytes(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("could not write a JSON tree", e);
        }
    }
}

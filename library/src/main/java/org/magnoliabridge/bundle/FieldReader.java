package org.magnoliabridge.bundle;

import static org.magnoliabridge.bundle.BundleProblem.Kind.INVALID_VALUE;
import static org.magnoliabridge.bundle.BundleProblem.Kind.MISSING_FIELD;
import static org.magnoliabridge.bundle.BundleProblem.Kind.OUT_OF_RANGE;
import static org.magnoliabridge.bundle.BundleProblem.Kind.UNKNOWN_FIELD;
import static org.magnoliabridge.bundle.BundleProblem.Kind.WRONG_TYPE;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.magnoliabridge.ids.InvalidIdException;

/** Reads the fields of one JSON object; faults are gathered, and a stand-in value is returned in their place. */
final class FieldReader {
    private final JsonNode node;
    private final String path;
    private final List<BundleProblem> problems;
    private final Set<String> known = new HashSet<>();

    private FieldReader(JsonNode node, String path, List<BundleProblem> problems) {
        this.path = path;
        this.problems = problems;
        if (node.isObject()) {
            this.node = node;
        } else {
            this.node = JsonNodeFactory.instance.objectNode();
            add(WRONG_TYPE, path.isEmpty() ? "bundle" : path, "expected an object");
        }
    }

    static FieldReader root(JsonNode node) {
        return new FieldReader(node, "", new ArrayList<>());
    }

    static String nameOf(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    /** Throws if any fault was gathered, here or in a nested object. */
    void check() throws InvalidBundleException {
        if (!problems.isEmpty()) {
            throw new InvalidBundleException(problems);
        }
    }

    /** Reports the fields that were not asked for. */
    void end() {
        node.fieldNames().forEachRemaining(name -> {
            if (!known.contains(name)) {
                add(UNKNOWN_FIELD, name(name), "unknown field");
            }
        });
    }

    long number(String field, long min, long max) {
        JsonNode value = require(field);
        if (value.isMissingNode()) {
            return min;
        }
        if (!value.isIntegralNumber()) {
            add(WRONG_TYPE, name(field), "expected a whole number");
            return min;
        }
        if (!value.canConvertToLong() || value.longValue() < min || value.longValue() > max) {
            add(OUT_OF_RANGE, name(field), value.asText() + " is not within " + min + " to " + max);
            return min;
        }
        return value.longValue();
    }

    boolean flag(String field) {
        JsonNode value = require(field);
        if (!value.isMissingNode() && !value.isBoolean()) {
            add(WRONG_TYPE, name(field), "expected true or false");
        }
        return value.asBoolean(false);
    }

    String text(String field, String pattern, String standIn) {
        return asText(require(field), field, pattern).orElse(standIn);
    }

    Optional<String> optionalText(String field) {
        known.add(field);
        return asText(node.path(field), field, ".*");
    }

    <T> T id(String field, IdParser<T> parser, T standIn) {
        return asText(require(field), field, ".*")
                .flatMap(text -> parse(name(field), text, parser))
                .orElse(standIn);
    }

    <T> List<T> ids(String field, IdParser<T> parser) {
        List<T> result = new ArrayList<>();
        JsonNode array = array(field);
        for (int i = 0; i < array.size(); i++) {
            String at = field + "[" + i + "]";
            asText(array.get(i), at, ".*")
                    .flatMap(text -> parse(name(at), text, parser))
                    .ifPresent(result::add);
        }
        return result;
    }

    <E extends Enum<E>> E choice(String field, Class<E> type) {
        List<E> values = List.of(type.getEnumConstants());
        List<String> names = values.stream().map(FieldReader::nameOf).toList();
        Optional<String> text = asText(require(field), field, String.join("|", names));
        return text.map(t -> values.get(names.indexOf(t))).orElse(values.get(0));
    }

    FieldReader object(String field) {
        JsonNode value = require(field);
        JsonNode object = value.isMissingNode() ? JsonNodeFactory.instance.objectNode() : value;
        return new FieldReader(object, name(field), problems);
    }

    <T> List<T> objects(String field, Function<FieldReader, T> read) {
        List<T> result = new ArrayList<>();
        JsonNode array = array(field);
        for (int i = 0; i < array.size(); i++) {
            FieldReader reader = new FieldReader(array.get(i), name(field + "[" + i + "]"), problems);
            result.add(read.apply(reader));
            reader.end();
        }
        return result;
    }

    private JsonNode array(String field) {
        JsonNode value = require(field);
        if (!value.isMissingNode() && !value.isArray()) {
            add(WRONG_TYPE, name(field), "expected an array");
        }
        return value.isArray() ? value : JsonNodeFactory.instance.arrayNode();
    }

    private Optional<String> asText(JsonNode value, String field, String pattern) {
        if (value.isMissingNode()) {
            return Optional.empty();
        }
        if (!value.isTextual()) {
            add(WRONG_TYPE, name(field), "expected a text");
            return Optional.empty();
        }
        if (!value.textValue().matches(pattern)) {
            add(INVALID_VALUE, name(field), "expected " + pattern);
            return Optional.empty();
        }
        return Optional.of(value.textValue());
    }

    private <T> Optional<T> parse(String at, String text, IdParser<T> parser) {
        try {
            return Optional.of(parser.parse(text));
        } catch (InvalidIdException e) {
            add(INVALID_VALUE, at, e.getMessage());
            return Optional.empty();
        }
    }

    private JsonNode require(String field) {
        known.add(field);
        JsonNode value = node.path(field);
        if (value.isMissingNode()) {
            add(MISSING_FIELD, name(field), "the field is missing");
        }
        return value;
    }

    private String name(String field) {
        return path.isEmpty() ? field : path + "." + field;
    }

    private void add(BundleProblem.Kind kind, String field, String detail) {
        problems.add(new BundleProblem(kind, field, detail));
    }

    /** Parses the text of an id. */
    @FunctionalInterface
    interface IdParser<T> {
        T parse(String text) throws InvalidIdException;
    }
}

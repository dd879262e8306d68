package org.magnoliabridge.settings;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.magnoliabridge.settings.SettingsException.Kind;
import org.magnoliabridge.settings.SettingsException.Problem;

/**
 * Reads and validates the fields of a JSON object, which may contain comments.
 *
 * <p>The read methods collect problems instead of failing at the first one. {@link #finish} throws them all together,
 * with every field that was not read reported as unknown.
 *
 * <pre>{@code
 * SettingsObject root = SettingsObject.parse(bytes);
 * String id = root.text("node_id");
 * long ttlMs = root.integer("address_ttl_ms", 100, 60_000, 5_000);
 * root.finish();
 * }</pre>
 */
public final class SettingsObject {
    private final String path;
    private final SettingsValue.ObjectValue fields;
    private final List<Problem> problems;
    private final Set<String> requestedNames = new HashSet<>();
    private final List<SettingsObject> children = new ArrayList<>();

    private SettingsObject(String path, SettingsValue.ObjectValue fields, List<Problem> problems) {
        this.path = path;
        this.fields = fields;
        this.problems = problems;
    }

    /**
     * Parses a text whose top level is an object.
     *
     * @throws SettingsException if the text is not JSON or a field name is repeated
     */
    public static SettingsObject parse(byte[] text) throws SettingsException {
        return new SettingsObject("", SettingsParser.parse(text), new ArrayList<>());
    }

    /** Returns whether the field is present and not null. */
    public boolean has(String name) {
        return presentValue(name).isPresent();
    }

    /** Returns a required string; reports a problem and returns an empty one if it is missing or not a string. */
    public String text(String name) {
        return required(name, "a string", this::asString).orElse("");
    }

    /** Returns an optional string. */
    public Optional<String> optionalText(String name) {
        return presentValue(name).flatMap(value -> checkType(name, value, "a string", asString(value)));
    }

    /** Returns a required whole number within a range, both ends included. */
    public long integer(String name, long min, long max) {
        return checkRange(name, required(name, rangeText(min, max), this::asLong), min, max, min);
    }

    /** Returns an optional whole number within a range, both ends included. */
    public long integer(String name, long min, long max, long defaultValue) {
        Optional<Long> value = presentValue(name).flatMap(v -> checkType(name, v, rangeText(min, max), asLong(v)));
        return checkRange(name, value, min, max, defaultValue);
    }

    /** Returns an optional number within a range, both ends included. */
    public double number(String name, double min, double max, double defaultValue) {
        String expected = "a number from " + min + " to " + max;
        Optional<Double> value = presentValue(name).flatMap(v -> checkType(name, v, expected, asDouble(v)));
        if (value.isPresent() && !(value.get() >= min && value.get() <= max)) {
            report(Kind.OUT_OF_RANGE, name, expected);
            return defaultValue;
        }
        return value.orElse(defaultValue);
    }

    /** Returns an optional boolean. */
    public boolean flag(String name, boolean defaultValue) {
        return presentValue(name)
                .flatMap(value -> checkType(name, value, "true or false", asBoolean(value)))
                .orElse(defaultValue);
    }

    /** Returns an optional list of strings, empty if it is missing. */
    public List<String> texts(String name) {
        List<String> result = new ArrayList<>();
        List<SettingsValue> values = items(name);
        for (int i = 0; i < values.size(); i++) {
            String element = name + "[" + i + "]";
            checkType(element, values.get(i), "a string", asString(values.get(i)))
                    .ifPresent(result::add);
        }
        return result;
    }

    /** Returns an optional list of objects, empty if it is missing. */
    public List<SettingsObject> objects(String name) {
        List<SettingsObject> result = new ArrayList<>();
        List<SettingsValue> values = items(name);
        for (int i = 0; i < values.size(); i++) {
            child(name + "[" + i + "]", values.get(i)).ifPresent(result::add);
        }
        return result;
    }

    /** Returns an optional nested object. */
    public Optional<SettingsObject> object(String name) {
        return presentValue(name).flatMap(value -> child(name, value));
    }

    /** Returns a required IP address with port, for example {@code 127.0.0.1:8080}; host names are rejected. */
    public Optional<InetSocketAddress> address(String name) {
        String text = text(name);
        if (text.isEmpty()) {
            return Optional.empty();
        }
        return parsed(name, text, "an IP address and port such as 127.0.0.1:8080", SocketAddresses::parse);
    }

    /** Returns the parsed form of a text, or reports the field as invalid. */
    public <T> Optional<T> parsed(String name, String text, String expected, Function<String, Optional<T>> parser) {
        Optional<T> result = parser.apply(text);
        if (result.isEmpty()) {
            report(Kind.INVALID, name, expected);
        }
        return result;
    }

    /** Reports a problem with a field of this object. */
    public void report(Kind kind, String name, String expected) {
        problems.add(new Problem(kind, path(name), lineOf(name), expected));
    }

    /**
     * Completes the validation of the whole text; call it on the top-level object.
     *
     * @throws SettingsException if there is any problem or unknown field
     */
    public void finish() throws SettingsException {
        reportUnknownFields();
        if (!problems.isEmpty()) {
            List<Problem> sorted = new ArrayList<>(problems);
            sorted.sort(Comparator.comparingInt(Problem::line));
            throw new SettingsException(sorted);
        }
    }

    private void reportUnknownFields() {
        for (Map.Entry<String, SettingsValue> field : fields.values().entrySet()) {
            if (!requestedNames.contains(field.getKey())) {
                report(
                        Kind.UNKNOWN,
                        field.getKey(),
                        requestedNames.isEmpty() ? "no fields" : "one of " + sortedRequestedNames());
            }
        }
        children.forEach(SettingsObject::reportUnknownFields);
    }

    private String sortedRequestedNames() {
        return String.join(", ", requestedNames.stream().sorted().toList());
    }

    private Optional<SettingsValue> presentValue(String name) {
        requestedNames.add(name);
        SettingsValue value = fields.values().get(name);
        return value instanceof SettingsValue.NullValue ? Optional.empty() : Optional.ofNullable(value);
    }

    private <T> Optional<T> required(String name, String expected, Function<SettingsValue, Optional<T>> as) {
        Optional<SettingsValue> value = presentValue(name);
        if (value.isEmpty()) {
            report(Kind.MISSING, name, expected);
            return Optional.empty();
        }
        return checkType(name, value.get(), expected, as.apply(value.get()));
    }

    private <T> Optional<T> checkType(String name, SettingsValue value, String expected, Optional<T> converted) {
        if (converted.isEmpty()) {
            problems.add(new Problem(Kind.WRONG_TYPE, path(name), value.line(), expected));
        }
        return converted;
    }

    private long checkRange(String name, Optional<Long> value, long min, long max, long defaultValue) {
        if (value.isPresent() && (value.get() < min || value.get() > max)) {
            report(Kind.OUT_OF_RANGE, name, rangeText(min, max));
            return defaultValue;
        }
        return value.orElse(defaultValue);
    }

    private List<SettingsValue> items(String name) {
        Optional<SettingsValue> value = presentValue(name);
        if (value.isEmpty()) {
            return List.of();
        }
        return switch (value.get()) {
            case SettingsValue.ArrayValue items -> items.values();
            default -> {
                report(Kind.WRONG_TYPE, name, "an array");
                yield List.of();
            }
        };
    }

    private Optional<SettingsObject> child(String name, SettingsValue value) {
        return switch (value) {
            case SettingsValue.ObjectValue nested -> {
                SettingsObject object = new SettingsObject(path(name), nested, problems);
                children.add(object);
                yield Optional.of(object);
            }
            default -> checkType(name, value, "an object", Optional.empty());
        };
    }

    private Optional<String> asString(SettingsValue value) {
        return value instanceof SettingsValue.StringValue text ? Optional.of(text.value()) : Optional.empty();
    }

    private Optional<Long> asLong(SettingsValue value) {
        return value instanceof SettingsValue.LongValue whole ? Optional.of(whole.value()) : Optional.empty();
    }

    private Optional<Double> asDouble(SettingsValue value) {
        return switch (value) {
            case SettingsValue.LongValue whole -> Optional.of((double) whole.value());
            case SettingsValue.DoubleValue real -> Optional.of(real.value());
            default -> Optional.empty();
        };
    }

    private Optional<Boolean> asBoolean(SettingsValue value) {
        return value instanceof SettingsValue.BooleanValue flag ? Optional.of(flag.value()) : Optional.empty();
    }

    private String path(String name) {
        return path.isEmpty() ? name : path + "." + name;
    }

    private int lineOf(String name) {
        int bracket = name.indexOf('[');
        SettingsValue value = fields.values().get(bracket < 0 ? name : name.substring(0, bracket));
        return value == null ? fields.line() : value.line();
    }

    private static String rangeText(long min, long max) {
        return "a whole number from " + min + " to " + max;
    }
}

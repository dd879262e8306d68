package org.magnoliabridge.bundle;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;
import org.magnoliabridge.ids.BundleVersion;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.InvalidIdException;
import org.magnoliabridge.ids.KeyId;
import org.magnoliabridge.ids.Region;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.keys.KeyEntry;
import org.magnoliabridge.settings.SettingsException.Kind;
import org.magnoliabridge.settings.SettingsObject;

/** Reads a bundle from JSON fields; an invalid field is reported and replaced by a placeholder. */
final class BundleReader {
    private static final String NO_HASH = "0".repeat(KeyEntry.HASH_CHARS);

    private final SettingsObject root;

    BundleReader(SettingsObject root) {
        this.root = root;
    }

    static String nameOf(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    Bundle bundle() {
        return new Bundle(
                new BundleVersion(root.integer("version", 1, Long.MAX_VALUE)),
                list(root, "data_centres", BundleReader::site),
                list(root, "teams", BundleReader::team),
                list(root, "keys", BundleReader::key),
                list(root, "services", BundleReader::service),
                bounds());
    }

    private Bounds bounds() {
        Optional<SettingsObject> object = root.object("bounds");
        if (object.isEmpty()) {
            root.report(Kind.MISSING, "bounds", "an object");
            return new Bounds(1, 0, 1);
        }
        SettingsObject o = object.get();
        return new Bounds(
                (int) o.integer("max_body_bytes", 1, BundleValidation.MAX_BODY_BYTES),
                (int) o.integer("max_staleness", 0, BundleValidation.MAX_STALENESS),
                (int) o.integer("engine_slots", 1, BundleValidation.MAX_ENGINE_SLOTS));
    }

    private static Bundle.Site site(SettingsObject o) {
        return new Bundle.Site(
                id(o, "id", DataCentre::parse, new DataCentre("none")),
                id(o, "region", Region::parse, new Region("none")));
    }

    private static Team team(SettingsObject o) {
        List<ServiceId> services = new ArrayList<>();
        List<String> texts = o.texts("services");
        for (int i = 0; i < texts.size(); i++) {
            services.add(parse(o, "services[" + i + "]", texts.get(i), ServiceId::parse, new ServiceId("none")));
        }
        return new Team(
                id(o, "id", TeamId::parse, new TeamId("none")),
                (int) o.integer("weight", 1, BundleValidation.MAX_WEIGHT),
                o.integer("tokens_per_second", 1, BundleValidation.MAX_TOKENS_PER_SECOND),
                services);
    }

    private static KeyEntry key(SettingsObject o) {
        String hash = o.text("sha256");
        if (!hash.isEmpty() && !hash.matches(KeyEntry.HASH_PATTERN)) {
            o.report(Kind.INVALID, "sha256", "64 lower-case hex digits");
        }
        return new KeyEntry(
                id(o, "id", KeyId::parse, new KeyId("none")),
                id(o, "team", TeamId::parse, new TeamId("none")),
                hash.matches(KeyEntry.HASH_PATTERN) ? hash : NO_HASH);
    }

    private static Service service(SettingsObject o) {
        return new Service(
                id(o, "id", ServiceId::parse, new ServiceId("none")),
                choice(o, "kind", Service.Kind.class),
                choice(o, "priority", Service.Priority.class),
                o.objects("routes").stream().map(BundleReader::route).toList());
    }

    private static Route route(SettingsObject o) {
        return new Route(
                o.text("method"),
                o.text("path_prefix"),
                o.flag("open", false),
                o.flag("idempotent", false),
                o.optionalText("outcome_path"));
    }

    // The top-level lists are required, because a bundle that lost its list of keys would lock out every team.
    private static <T> List<T> list(SettingsObject o, String name, Function<SettingsObject, T> read) {
        if (!o.has(name)) {
            o.report(Kind.MISSING, name, "an array");
        }
        return o.objects(name).stream().map(read).toList();
    }

    private static <T> T id(SettingsObject o, String name, IdParser<T> parser, T placeholder) {
        String text = o.text(name);
        return text.isEmpty() ? placeholder : parse(o, name, text, parser, placeholder);
    }

    private static <T> T parse(SettingsObject o, String name, String text, IdParser<T> parser, T placeholder) {
        try {
            return parser.parse(text);
        } catch (InvalidIdException e) {
            o.report(Kind.INVALID, name, "an id: " + e.getMessage());
            return placeholder;
        }
    }

    private static <E extends Enum<E>> E choice(SettingsObject o, String name, Class<E> type) {
        String text = o.text(name);
        for (E value : type.getEnumConstants()) {
            if (nameOf(value).equals(text)) {
                return value;
            }
        }
        if (!text.isEmpty()) {
            o.report(Kind.INVALID, name, "one of " + List.of(type.getEnumConstants()));
        }
        return type.getEnumConstants()[0];
    }

    /** Parses the text of an id. */
    @FunctionalInterface
    private interface IdParser<T> {
        T parse(String text) throws InvalidIdException;
    }
}

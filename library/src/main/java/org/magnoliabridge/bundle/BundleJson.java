package org.magnoliabridge.bundle;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import org.magnoliabridge.ids.BundleVersion;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.KeyId;
import org.magnoliabridge.ids.Region;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.keys.KeyEntry;

/** Reads and writes bundles as JSON. */
public final class BundleJson {
    private static final int MAX_INT = Integer.MAX_VALUE;
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .enable(JsonParser.Feature.ALLOW_COMMENTS)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private BundleJson() {}

    /**
     * Reads a bundle and validates it as a whole.
     *
     * @throws InvalidBundleException with every fault that was found
     */
    public static Bundle read(byte[] json) throws InvalidBundleException {
        JsonNode root;
        try {
            root = MAPPER.readTree(json);
        } catch (IOException e) {
            String detail = e instanceof JsonProcessingException p ? p.getOriginalMessage() : "not readable";
            throw new InvalidBundleException(
                    List.of(new BundleProblem(BundleProblem.Kind.MALFORMED, "bundle", "not JSON: " + detail)));
        }
        FieldReader reader = FieldReader.root(root);
        Bundle bundle = read(reader);
        reader.check();
        BundleValidation.check(bundle);
        return bundle;
    }

    private static Bundle read(FieldReader r) {
        Bundle bundle = new Bundle(
                new BundleVersion(r.number("version", 0, Long.MAX_VALUE)),
                r.objects("data_centres", BundleJson::readSite),
                r.objects("teams", BundleJson::readTeam),
                r.objects("keys", BundleJson::readKey),
                r.objects("services", BundleJson::readService),
                readBounds(r.object("bounds")));
        r.end();
        return bundle;
    }

    private static Bundle.Site readSite(FieldReader r) {
        return new Bundle.Site(
                r.id("id", DataCentre::parse, new DataCentre("x")), r.id("region", Region::parse, new Region("x")));
    }

    private static Team readTeam(FieldReader r) {
        return new Team(
                r.id("id", TeamId::parse, new TeamId("x")),
                (int) r.number("weight", 0, MAX_INT),
                r.number("tokens_per_second", 0, Long.MAX_VALUE),
                r.ids("services", ServiceId::parse));
    }

    private static KeyEntry readKey(FieldReader r) {
        return new KeyEntry(
                r.id("id", KeyId::parse, new KeyId("x")),
                r.id("team", TeamId::parse, new TeamId("x")),
                r.text("sha256", KeyEntry.HASH_PATTERN, "0".repeat(KeyEntry.HASH_CHARS)));
    }

    private static Service readService(FieldReader r) {
        return new Service(
                r.id("id", ServiceId::parse, new ServiceId("x")),
                r.choice("kind", Service.Kind.class),
                r.choice("priority", Service.Priority.class),
                r.objects("routes", BundleJson::readRoute));
    }

    private static Route readRoute(FieldReader r) {
        return new Route(
                r.text("method", ".*", ""),
                r.text("path_prefix", ".*", ""),
                r.flag("open"),
                r.flag("idempotent"),
                r.optionalText("outcome_path"));
    }

    private static Bounds readBounds(FieldReader r) {
        Bounds bounds = new Bounds(
                (int) r.number("max_body_bytes", 0, MAX_INT), (int) r.number("max_staleness", 0, MAX_INT), (int)
                        r.number("engine_slots", 0, MAX_INT));
        r.end();
        return bounds;
    }

    /** Writes a bundle; equal bundles give equal bytes. */
    public static byte[] write(Bundle bundle) {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("version", bundle.version().value());
        ArrayNode sites = root.putArray("data_centres");
        bundle.dataCentres()
                .forEach(s -> sites.addObject()
                        .put("id", s.id().value())
                        .put("region", s.region().value()));
        ArrayNode teams = root.putArray("teams");
        bundle.teams().forEach(t -> writeTeam(teams.addObject(), t));
        ArrayNode keys = root.putArray("keys");
        bundle.keys()
                .forEach(k -> keys.addObject()
                        .put("id", k.id().value())
                        .put("team", k.team().value())
                        .put("sha256", k.sha256()));
        ArrayNode services = root.putArray("services");
        bundle.services().forEach(s -> writeService(services.addObject(), s));
        root.putObject("bounds")
                .put("max_body_bytes", bundle.bounds().maxBodyBytes())
                .put("max_staleness", bundle.bounds().maxStaleness())
                .put("engine_slots", bundle.bounds().engineSlots());
        try {
            return MAPPER.writeValueAsBytes(root);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree of plain values can always be written", e);
        }
    }

    private static void writeTeam(ObjectNode node, Team team) {
        node.put("id", team.id().value());
        node.put("weight", team.weight());
        node.put("tokens_per_second", team.tokensPerSecond());
        ArrayNode services = node.putArray("services");
        team.services().forEach(s -> services.add(s.value()));
    }

    private static void writeService(ObjectNode node, Service service) {
        node.put("id", service.id().value());
        node.put("kind", FieldReader.nameOf(service.kind()));
        node.put("priority", FieldReader.nameOf(service.priority()));
        ArrayNode routes = node.putArray("routes");
        for (Route route : service.routes()) {
            ObjectNode entry = routes.addObject()
                    .put("method", route.method())
                    .put("path_prefix", route.pathPrefix())
                    .put("open", route.open())
                    .put("idempotent", route.idempotent());
            route.outcomePath().ifPresent(p -> entry.put("outcome_path", p));
        }
    }
}

package org.magnoliabridge.bundle;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.magnoliabridge.settings.SettingsException;
import org.magnoliabridge.settings.SettingsObject;

/** Reads and writes bundles as JSON. */
public final class BundleJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private BundleJson() {}

    /**
     * Reads a bundle and validates it as a whole; comments are allowed.
     *
     * @throws InvalidBundleException with every fault that was found
     */
    public static Bundle read(byte[] json) throws InvalidBundleException {
        Bundle bundle;
        try {
            SettingsObject root = SettingsObject.parse(json);
            bundle = new BundleReader(root).bundle();
            root.finish();
        } catch (SettingsException e) {
            throw new InvalidBundleException(
                    e.problems().stream().map(BundleProblem::of).toList());
        }
        BundleValidation.check(bundle);
        return bundle;
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
            throw new IllegalStateException("unexpected failure to write JSON", e);
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
        node.put("kind", BundleReader.nameOf(service.kind()));
        node.put("priority", BundleReader.nameOf(service.priority()));
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

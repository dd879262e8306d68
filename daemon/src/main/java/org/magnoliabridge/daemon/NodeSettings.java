package org.magnoliabridge.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.logging.Level;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.InvalidIdException;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.Region;
import org.magnoliabridge.settings.SettingsException;
import org.magnoliabridge.settings.SettingsException.Kind;
import org.magnoliabridge.settings.SettingsObject;
import org.magnoliabridge.settings.SocketAddresses;

/**
 * The checked settings of a node.
 *
 * @param nodeId the node's name, unique in the deployment
 * @param dataCentre where the node runs
 * @param region the region of the data centre
 * @param listen the addresses the node listens on
 * @param seeds peer addresses that the node contacts to join the cluster
 * @param platform addresses of the platform's APIs
 * @param clusterSecrets secrets that authenticate peers; the first signs, all are accepted
 * @param operatorPublicKeys base64 of the Ed25519 keys that may sign bundles
 * @param limits time limits
 * @param telemetry log level and span export
 */
public record NodeSettings(
        NodeId nodeId,
        DataCentre dataCentre,
        Region region,
        Listen listen,
        List<InetSocketAddress> seeds,
        Platform platform,
        List<String> clusterSecrets,
        List<String> operatorPublicKeys,
        Limits limits,
        Telemetry telemetry) {
    private static final int MIN_SECRET_CHARS = 32;
    private static final InetSocketAddress UNSET = new InetSocketAddress(0);
    private static final Map<String, Level> LEVELS =
            Map.of("debug", Level.FINE, "info", Level.INFO, "warning", Level.WARNING, "error", Level.SEVERE);

    /** The addresses a node listens on: callers, operators and peers. */
    public record Listen(InetSocketAddress callers, InetSocketAddress operators, InetSocketAddress peers) {}

    /** The addresses of the platform's APIs. */
    public record Platform(
            InetSocketAddress objects,
            InetSocketAddress orders,
            InetSocketAddress usage,
            InetSocketAddress instances,
            InetSocketAddress weights,
            InetSocketAddress scoring) {}

    /** Time limits in milliseconds. */
    public record Limits(long drainMs, long addressTtlMs, long usageWindowMs) {}

    /** Log level, and file and sampling ratio of the spans. */
    public record Telemetry(Level level, Optional<Path> spansFile, double spanSampleRatio) {}

    /**
     * Reads a settings file.
     *
     * @throws SettingsException listing every problem found in the file
     * @throws IOException if the file cannot be read
     */
    public static NodeSettings read(Path file) throws SettingsException, IOException {
        return parse(Files.readAllBytes(file));
    }

    /** Parses and checks the text of a settings file. */
    static NodeSettings parse(byte[] text) throws SettingsException {
        SettingsObject root = SettingsObject.parse(text);
        Optional<NodeId> nodeId = id(root, "node_id", NodeId::parse);
        Optional<DataCentre> dataCentre = id(root, "data_centre", DataCentre::parse);
        Optional<Region> region = id(root, "region", Region::parse);
        Listen listen = new Listen(
                address(root, "caller_listen"), address(root, "operator_listen"), address(root, "peer_listen"));
        List<InetSocketAddress> seeds = seeds(root);
        Platform platform = platform(root);
        List<String> secrets = secrets(root);
        List<String> operatorKeys = root.texts("operator_public_keys");
        Limits limits = limits(root);
        Telemetry telemetry = telemetry(root);
        if (operatorKeys.isEmpty()) {
            root.report(Kind.MISSING, "operator_public_keys", "at least one base64 Ed25519 public key");
        }
        root.finish();
        return new NodeSettings(
                nodeId.orElseThrow(),
                dataCentre.orElseThrow(),
                region.orElseThrow(),
                listen,
                seeds,
                platform,
                secrets,
                operatorKeys,
                limits,
                telemetry);
    }

    private static Platform platform(SettingsObject root) {
        return new Platform(
                address(root, "object_api"),
                address(root, "orders_api"),
                address(root, "usage_api"),
                address(root, "instances_api"),
                address(root, "weights_api"),
                address(root, "scoring_api"));
    }

    private static Limits limits(SettingsObject root) {
        return new Limits(
                root.integer("drain_limit_ms", 1_000, 3_600_000, 60_000),
                root.integer("address_ttl_ms", 100, 60_000, 5_000),
                root.integer("usage_window_ms", 1_000, 3_600_000, 60_000));
    }

    private static Telemetry telemetry(SettingsObject root) {
        String name = root.optionalText("log_level").orElse("info").toLowerCase(Locale.ROOT);
        if (!LEVELS.containsKey(name)) {
            root.report(Kind.INVALID, "log_level", "debug, info, warning or error");
        }
        Optional<Path> spans = root.optionalText("spans_file").map(Path::of);
        double ratio = root.number("span_sample_ratio", 0, 1, 0.01);
        return new Telemetry(LEVELS.getOrDefault(name, Level.INFO), spans, ratio);
    }

    private static List<InetSocketAddress> seeds(SettingsObject root) {
        List<InetSocketAddress> seeds = new ArrayList<>();
        List<String> texts = root.texts("seeds");
        for (int i = 0; i < texts.size(); i++) {
            root.parsed(
                            "seeds[" + i + "]",
                            texts.get(i),
                            "an IP address and port such as 127.0.0.1:7000",
                            SocketAddresses::parse)
                    .ifPresent(seeds::add);
        }
        return List.copyOf(seeds);
    }

    private static List<String> secrets(SettingsObject root) {
        List<String> secrets = root.texts("cluster_secrets");
        if (secrets.isEmpty() || secrets.size() > 2) {
            root.report(Kind.OUT_OF_RANGE, "cluster_secrets", "one secret, or two during a replacement");
        }
        if (secrets.stream().anyMatch(secret -> secret.length() < MIN_SECRET_CHARS)) {
            root.report(
                    Kind.OUT_OF_RANGE, "cluster_secrets", "secrets of at least " + MIN_SECRET_CHARS + " characters");
        }
        return List.copyOf(secrets);
    }

    private static InetSocketAddress address(SettingsObject root, String name) {
        return root.address(name).orElse(UNSET);
    }

    static <T> Optional<T> id(SettingsObject root, String name, IdParser<T> parser) {
        String text = root.text(name);
        if (text.isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(parser.parse(text));
        } catch (InvalidIdException e) {
            root.report(Kind.INVALID, name, e.getMessage());
            return Optional.empty();
        }
    }

    @FunctionalInterface
    interface IdParser<T> {
        T parse(String text) throws InvalidIdException;
    }
}

package org.magnoliabridge.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.logging.Level;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.Region;
import org.magnoliabridge.settings.SettingsException;
import org.magnoliabridge.settings.SettingsException.Kind;
import org.magnoliabridge.settings.SettingsObject;

/**
 * The validated settings of a gateway node.
 *
 * @param nodeId the node's name, unique in the deployment
 * @param dataCentre where the node runs
 * @param region the region of the data centre
 * @param listen the addresses the node listens on
 * @param objectApi the platform's object store
 * @param ordersApi the platform's interface for endpoint orders and usage reports
 * @param bounds times that the platform guarantees or requires
 * @param capacityMillicores processor capacity in thousandths of a core, 0 if not known
 * @param maxDescriptors how many descriptors the process may have open, 0 for the limit of the process
 * @param logLevel lowest level that is logged
 */
public record GatewaySettings(
        NodeId nodeId,
        DataCentre dataCentre,
        Region region,
        Listen listen,
        InetSocketAddress objectApi,
        InetSocketAddress ordersApi,
        Bounds bounds,
        int capacityMillicores,
        int maxDescriptors,
        Level logLevel) {
    private static final double MIN_CPU = 0.001;
    private static final double MAX_CPU = 1_000;
    private static final int MILLICORES_PER_CORE = 1_000;
    private static final int MIN_DESCRIPTORS = 400;
    private static final int MAX_DESCRIPTORS = 1_000_000;
    private static final InetSocketAddress UNSET = new InetSocketAddress(0);
    private static final Map<String, Level> LEVELS =
            Map.of("debug", Level.FINE, "info", Level.INFO, "warning", Level.WARNING, "error", Level.SEVERE);

    /** The addresses a node listens on: callers, readiness checks, the directory, peers and metrics. */
    public record Listen(
            InetSocketAddress callers,
            InetSocketAddress ready,
            InetSocketAddress directory,
            InetSocketAddress peers,
            InetSocketAddress metrics) {}

    /**
     * Times in milliseconds.
     *
     * @param graceMs from the termination signal until the process is killed
     * @param addressTtlMs how long callers may cache an answer of the directory
     * @param leaseMs lease duration, the shortest time in which a duty may pass from one holder to the next
     * @param usageWindowMs length of a usage window
     * @param usageDueMs time after the end of a usage window by which it must be reported
     * @param evacuateMs time in which an evacuated data centre must get no more work; 0 if the deployment's operators
     *     evacuate none
     */
    public record Bounds(
            long graceMs, long addressTtlMs, long leaseMs, long usageWindowMs, long usageDueMs, long evacuateMs) {}

    /**
     * Reads a settings file.
     *
     * @throws SettingsException if the file has problems; lists all of them
     * @throws IOException if the file cannot be read
     */
    public static GatewaySettings read(Path file) throws SettingsException, IOException {
        return parse(Files.readAllBytes(file));
    }

    /** Parses and validates the text of a settings file. */
    static GatewaySettings parse(byte[] text) throws SettingsException {
        SettingsObject root = SettingsObject.parse(text);
        Optional<NodeId> nodeId = NodeSettings.id(root, "node_id", NodeId::parse);
        Optional<DataCentre> dataCentre = NodeSettings.id(root, "data_centre", DataCentre::parse);
        Optional<Region> region = NodeSettings.id(root, "region", Region::parse);
        Listen listen = new Listen(
                address(root, "caller_listen"),
                address(root, "ready_listen"),
                address(root, "directory_listen"),
                address(root, "peer_listen"),
                address(root, "metrics_listen"));
        InetSocketAddress objects = address(root, "object_api");
        InetSocketAddress orders = address(root, "orders_api");
        Bounds bounds = bounds(root);
        int capacity = capacityMillicores(root);
        int descriptors = (int)
                root.integer("max_descriptors", MIN_DESCRIPTORS, MAX_DESCRIPTORS, fromEnvironment("MAX_DESCRIPTORS"));
        String name = root.optionalText("log_level").orElse("info").toLowerCase(Locale.ROOT);
        if (!LEVELS.containsKey(name)) {
            root.report(Kind.INVALID, "log_level", "debug, info, warning or error");
        }
        root.finish();
        return new GatewaySettings(
                nodeId.orElseThrow(),
                dataCentre.orElseThrow(),
                region.orElseThrow(),
                listen,
                objects,
                orders,
                bounds,
                capacity,
                descriptors,
                LEVELS.get(name));
    }

    // Settings that not every deployment's platform gives come as variables, which are empty without a value.
    private static long fromEnvironment(String name) {
        String text = System.getenv("MAGNOLIABRIDGE_" + name);
        return text != null && text.matches("\\d{1,9}") ? Long.parseLong(text) : 0;
    }

    private static Bounds bounds(SettingsObject root) {
        return new Bounds(
                root.integer("grace_ms", 500, 3_600_000, 8_000),
                root.integer("address_ttl_ms", 100, 60_000, 2_000),
                root.integer("lease_ms", 500, 60_000, 3_000),
                root.integer("usage_window_ms", 500, 3_600_000, 5_000),
                root.integer("usage_due_ms", 500, 3_600_000, 10_000),
                root.integer("evacuate_ms", 1_000, 3_600_000, fromEnvironment("EVACUATE_MS")));
    }

    private static int capacityMillicores(SettingsObject root) {
        double share = root.number("cpu_share", MIN_CPU, MAX_CPU, 0);
        double speed = root.number("cpu_speed", MIN_CPU, MAX_CPU, 1);
        return (int) Math.round(share * speed * MILLICORES_PER_CORE);
    }

    private static InetSocketAddress address(SettingsObject root, String name) {
        return root.address(name).orElse(UNSET);
    }
}

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A small deployment: the platform's stand-ins, samplers, and entry nodes as processes of the deploy file. */
final class Lab implements AutoCloseable {
    static final String HOST = "ficu95.example";
    static final String MODEL = "daka510000";
    static final String ENGINES = "huvo11a";
    static final String DESK = "wuno96b";
    static final String[] ZONES = {"trent", "soar", "avon"};

    final Record record;
    final Store store = new Store();
    final List<Node> nodes = new ArrayList<>();
    final Proxy storeProxy;
    private final HttpServer storeServer;
    private final HttpServer cloud;
    private final Path folder;
    private final OptionalInt machineMb;
    private volatile boolean closing;

    /** What was sent, answered and run. */
    static final class Record implements AutoCloseable {
        private final PrintWriter out;
        private final long startNanos = System.nanoTime();

        Record(Path file) throws IOException {
            out = new PrintWriter(Files.newBufferedWriter(file));
        }

        synchronized void line(String format, Object... values) {
            double seconds = (System.nanoTime() - startNanos) / 1e9;
            out.println(String.format("%8.3f ", seconds) + String.format(format, values));
            out.flush();
        }

        @Override
        public synchronized void close() {
            out.close();
        }
    }

    Lab(Record record) throws IOException {
        this(record, OptionalInt.empty());
    }

    /**
     * Creates a deployment without nodes.
     *
     * @param machineMb the memory of a node's machine, which its runtime reads from the machine
     */
    Lab(Record record, OptionalInt machineMb) throws IOException {
        this.record = record;
        this.machineMb = machineMb;
        // Also if the case itself is terminated.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> nodes.forEach(n -> n.process.destroyForcibly())));
        folder = Files.createTempDirectory("review-3");
        storeServer = Servers.start(store::handle);
        storeProxy = new Proxy(storeServer.getAddress());
        cloud = Servers.start(ex -> {
            byte[] body = ex.getRequestBody().readAllBytes();
            record.line("cloud got %s from %s with fence %s: %s", ex.getRequestURI(),
                    ex.getRequestHeaders().getFirst("X-Lease-Holder"),
                    ex.getRequestHeaders().getFirst("X-Fencing-Token"), new String(body, StandardCharsets.UTF_8));
            Servers.send(ex, 200, Map.of(), new byte[0]);
        });
    }

    /** Returns a configuration with one rollout route and the keys of the given teams; the key of team T is "key-T". */
    static ObjectNode config(int version, String... teams) {
        ObjectNode config = Store.JSON.createObjectNode().put("Version", version);
        ArrayNode routes = config.putArray("Routes");
        routes.addObject().put("Name", "r-rollout").put("Host", HOST).put("PathPrefix", "/pufi791/")
                .put("Type", "rollout").put("TimeoutMs", 10_000).put("GoalMs", 400).put("Priority", 1)
                .put("Service", ENGINES).put("MaxAttempts", 3).put("MaxQueueS", 100.0).put("DueMs", 7_500)
                .put("SingleVersion", false).put("Public", false).put("Sticky", true).put("Resumable", true);
        ArrayNode services = config.putArray("Services");
        ObjectNode engine = services.addObject().put("Name", ENGINES).put("HealthPath", "/healthz")
                .put("MaxConns", 170).put("Protocol", "h1").put("Tls", false).putObject("Engine");
        engine.put("Slots", Sampler.SLOTS).put("KvCapacity", 102_972).put("Stride", 72);
        engine.putArray("Models").addObject().put("Name", MODEL);
        config.putObject("Limits").put("MaxHeaderBytes", 16_384).put("MaxBodyBytes", 33_554_432)
                .put("HeaderTimeoutMs", 3_000).put("IdleTimeoutMs", 15_000);
        ArrayNode tenants = config.putArray("Tenants");
        for (String team : teams) {
            tenants.addObject().put("Name", team).put("Priority", 1).putArray("ApiKeys").add("key-" + team);
        }
        return config;
    }

    /** Returns the body of a batch submission; item n has n times the events, counted from 1, each after a gap. */
    static byte[] batch(List<String> items, int events, long gapMs) throws IOException {
        ObjectNode batch = Store.JSON.createObjectNode().put("Step", 0).put("Model", MODEL).put("MinVersion", 1);
        batch.put("Desired", items.size());
        ArrayNode array = batch.putArray("Items");
        for (String id : items) {
            int length = events * (array.size() + 1);
            ObjectNode item = array.addObject().put("Id", id).put("Path", "/pufi791/3/" + id).put("Group", "g" + id);
            item.putObject("Headers").put("X-Model", MODEL).put("X-Token-Usage", "16," + 72 * length)
                    .put("X-Prefix-Hash", id + ":16");
            item.put("Body", Base64.getEncoder().encodeToString((length + " " + gapMs).getBytes()));
            item.put("Tokens", 16 + 72 * length);
        }
        return Store.JSON.writeValueAsBytes(batch);
    }

    static Map<String, String> headers(String team) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", HOST);
        headers.put("Authorization", "Token key-" + team);
        return headers;
    }

    /** Adds a node in a zone, with a loopback address of its own, and starts its process. */
    Node addNode(String zone) throws IOException {
        Node node = new Node("edge-" + zone + "-" + (nodes.size() + 1), zone, "127.0.0." + (nodes.size() + 2));
        nodes.add(node);
        node.start();
        return node;
    }

    @Override
    public void close() {
        closing = true;
        nodes.forEach(Node::kill);
        storeServer.stop(0);
        cloud.stop(0);
    }

    /** An entry node: one process, started with the command of the deploy file. */
    final class Node {
        final String name;
        final InetSocketAddress front;
        private final String ip;
        private final Path settings;
        private final InetSocketAddress ready;
        private final Map<String, String> environment = new LinkedHashMap<>();
        private final List<String> command;
        private final Path output;
        private volatile Process process;

        Node(String name, String zone, String ip) throws IOException {
            this.name = name;
            this.ip = ip;
            front = new InetSocketAddress(ip, freePort());
            ready = new InetSocketAddress(ip, freePort());
            Map<String, String> fields = new LinkedHashMap<>();
            fields.put("NodeName", name);
            fields.put("Zone", zone);
            fields.put("Region", "midlands");
            fields.put("Ip", ip);
            fields.put("Listen.Front", ip + ":" + front.getPort());
            fields.put("Listen.Ready", ip + ":" + ready.getPort());
            fields.put("Listen.Directory", ip + ":" + freePort());
            fields.put("InternalPorts.0", Integer.toString(freePort()));
            fields.put("Platform.Address", storeProxy.address());
            fields.put("Cloud.Address", Servers.address(cloud));
            fields.put("Limits.CpuShare", "0.75");
            fields.put("Limits.Cores", "1");
            fields.put("Limits.MaxFds", "4100");
            fields.put("Bounds.GraceS", "8");
            fields.put("Bounds.LeaseMs", "3000");
            fields.put("Bounds.ReportWindowS", "5");
            fields.put("Bounds.UsageDelayS", "10");
            fields.put("Bounds.EvacuateMs", "");
            settings = folder.resolve(name + ".json");
            // The port of the metrics is fixed in the template, and may be in use here.
            String template = Files.readString(Path.of("deploy/settings.json")).replace(":9464", ":" + freePort());
            Files.writeString(settings, render(template, fields));
            output = folder.resolve(name + ".log");
            Files.writeString(output, "");
            String deploy = Files.readString(Path.of("deploy/system.toml"));
            String role = deploy.substring(deploy.indexOf("[roles.gateway]"), deploy.indexOf("[roles.storage]"));
            command = List.of(found(role, "(?m)^run = \"(.*)\"$").split(" "));
            Matcher variable = Pattern.compile("([A-Z_]+) = \"(.*?)\"").matcher(found(role, "(?m)^env = \\{(.*)\\}$"));
            while (variable.find()) {
                environment.put(variable.group(1), render(variable.group(2), fields));
            }
            environment.put("MAGNOLIABRIDGE_NODE_FILE", settings.toString());
            machineMb.ifPresent(mb -> environment.put("JAVA_TOOL_OPTIONS", "-XX:MaxRAM=" + mb + "m"));
        }

        private int freePort() throws IOException {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
                return socket.getLocalPort();
            }
        }

        void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
            builder.environment().putAll(environment);
            process = builder.start();
            record.line("%s: process started", name);
        }

        void kill() {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            record.line("%s: process killed", name);
        }

        /** Starts the process again two seconds after each end, as the platform does; returns how often it ended. */
        AtomicInteger supervise() {
            AtomicInteger ends = new AtomicInteger();
            Thread.ofVirtual().start(() -> {
                try {
                    while (true) {
                        int status = process.waitFor();
                        if (closing) {
                            return;
                        }
                        ends.incrementAndGet();
                        record.line("%s: the process ended by itself with status %d", name, status);
                        Thread.sleep(2_000);
                        start();
                    }
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                } catch (IOException e) {
                    record.line("%s: cannot be started again: %s", name, e);
                }
            });
            return ends;
        }

        /** Stops or continues the process, which is what the platform does when it freezes and wakes a machine. */
        void signal(String signal) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
            record.line("%s: %s", name, signal);
        }

        boolean isReady() {
            try {
                return Http.call(ready, "GET", "/-/readyz", Map.of("Host", HOST), new byte[0], 500).status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void awaitReady(long limitMs) throws InterruptedException {
            long end = System.nanoTime() + limitMs * 1_000_000;
            while (!isReady()) {
                if (System.nanoTime() > end) {
                    throw new IllegalStateException(name + " is not ready");
                }
                Thread.sleep(50);
            }
            record.line("%s: ready", name);
        }

        /** Returns how often the log of the node has a text. */
        int logged(String text) throws IOException {
            return Files.readString(output).split(Pattern.quote(text), -1).length - 1;
        }

        String log() throws IOException {
            return Files.readString(output);
        }

        Http.Answer call(String method, String target, Map<String, String> headers, byte[] body, int limitMs)
                throws IOException {
            return Http.call(front, method, target, headers, body, limitMs);
        }
    }

    private static String found(String text, String pattern) {
        Matcher matcher = Pattern.compile(pattern).matcher(text);
        if (!matcher.find()) {
            throw new IllegalStateException("nothing in the deploy file matches " + pattern);
        }
        return matcher.group(1);
    }

    private static String render(String template, Map<String, String> fields) {
        Matcher matcher = Pattern.compile("\\{\\{([A-Za-z0-9.]+)\\}\\}").matcher(template);
        return matcher.replaceAll(m -> Matcher.quoteReplacement(fields.get(m.group(1))));
    }

    static JsonNode json(Http.Answer answer) throws IOException {
        return Store.JSON.readTree(answer.body());
    }
}

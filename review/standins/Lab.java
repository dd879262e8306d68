import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** A small deployment on loopback addresses: a store and gateway processes started as the deploy file says. */
final class Lab implements AutoCloseable {
    /** Exit code of a case that could not run. */
    static final int NOT_RUN = 2;

    static final String DESK = "desk.example";
    static final String ROLLOUTS = "rollouts.example";
    static final String KEY = "key-oak-1";

    // The memory of an edge machine of the site tkhq; the Java runtime sizes its heap by it, as on such a machine.
    private static final String MACHINE_MEMORY = "-XX:MaxRAM=280m";

    /** Whether the disruption takes place. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    final Store store;
    final List<Node> nodes = new ArrayList<>();
    private final String net;
    private final Path folder;
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final List<AutoCloseable> others = new ArrayList<>();
    private volatile boolean closing;

    /** One gateway process on a loopback address of its own; started again when it ends by itself. */
    final class Node {
        final String name;
        final String ip;
        final Proxy toStore;
        volatile InetSocketAddress front;
        volatile InetSocketAddress ready;
        final List<Integer> ends = new ArrayList<>();
        private final Path settings;
        private final Path log;
        private final String zone;
        private final int graceS;
        private volatile boolean wasReady;
        private volatile Process process;

        private Node(int number, String zone, int graceS) throws IOException {
            this.name = "edge-" + zone + "-" + number;
            this.ip = net + (10 + number);
            this.toStore = new Proxy(net + "1", store.address());
            this.zone = zone;
            this.graceS = graceS;
            this.settings = folder.resolve(name + ".json");
            this.log = folder.resolve(name + ".log");
            Files.writeString(settings, render());
        }

        private String render() throws IOException {
            front = address(ip);
            ready = address(ip);
            Map<String, String> fields = Map.ofEntries(
                    Map.entry("NodeName", name),
                    Map.entry("Zone", zone),
                    Map.entry("Region", "midlands"),
                    Map.entry("Listen.Front", text(front)),
                    Map.entry("Listen.Ready", text(ready)),
                    Map.entry("Listen.Directory", text(address(ip))),
                    Map.entry("Ip", ip),
                    Map.entry("InternalPorts.0", Integer.toString(freePort(ip))),
                    Map.entry("Platform.Address", toStore.address()),
                    Map.entry("Cloud.Address", text(address(net + "1"))),
                    Map.entry("Limits.CpuShare", "0.75"),
                    Map.entry("Limits.Cores", "1"),
                    Map.entry("Bounds.GraceS", Integer.toString(graceS)),
                    Map.entry("Bounds.LeaseMs", "3000"),
                    Map.entry("Bounds.ReportWindowS", "5"),
                    Map.entry("Bounds.UsageDelayS", "10"));
            String template = Files.readString(Path.of("deploy/settings.json"));
            Matcher placeholder = Pattern.compile("\\{\\{([A-Za-z0-9.]+)}}").matcher(template);
            return placeholder.replaceAll(m -> Matcher.quoteReplacement(fields.get(m.group(1))));
        }

        void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(gatewayCommand());
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("MAGNOLIABRIDGE_NODE_FILE", settings.toString());
            builder.environment().put("JAVA_TOOL_OPTIONS", MACHINE_MEMORY);
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            Process started = builder.start();
            process = started;
            started.onExit().thenAccept(this::ended);
        }

        // The platform starts a process that ends again after a short delay.
        private void ended(Process old) {
            if (closing) {
                return;
            }
            ends.add(old.exitValue());
            note("process %s ended by itself, exit code %d: %s", name, old.exitValue(), lastLine());
            try {
                Thread.sleep(500);
                if (!closing) {
                    // A port that was free may have been taken before the process could open it.
                    if (!wasReady) {
                        Files.writeString(settings, render());
                    }
                    start();
                }
            } catch (IOException | InterruptedException e) {
                note("process %s cannot be started again: %s", name, e);
            }
        }

        private String lastLine() {
            try {
                List<String> lines = log();
                List<String> causes = lines.stream().filter(l -> l.startsWith("Caused by")).toList();
                List<String> best = causes.isEmpty() ? lines : causes;
                return best.isEmpty() ? "" : best.getLast();
            } catch (IOException e) {
                return e.toString();
            }
        }

        Process process() {
            return process;
        }

        boolean isReady() {
            return Http.call(ready, "GET", "/-/readyz", Map.of("Host", "x"), new byte[0], 1_000).status() == 200;
        }

        long logged(String text) throws IOException {
            try (Stream<String> lines = Files.lines(log)) {
                return lines.filter(l -> l.contains(text)).count();
            }
        }

        List<String> log() throws IOException {
            return Files.readAllLines(log);
        }
    }

    Lab(Path recordFile) throws IOException {
        net = "127." + (64 + ThreadLocalRandom.current().nextInt(128)) + "."
                + (1 + ThreadLocalRandom.current().nextInt(250)) + ".";
        folder = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        store = new Store(net + "1");
        note("disruption: %s", TROUBLE ? "on" : "off");
    }

    /** Returns a loopback address of this deployment for a stand-in. */
    String ip(int last) {
        return net + last;
    }

    <T extends AutoCloseable> T add(T standIn) {
        others.add(standIn);
        return standIn;
    }

    Node addNode(String zone) throws IOException {
        Node node = new Node(nodes.size() + 1, zone, 8);
        nodes.add(node);
        return node;
    }

    void startAll() throws IOException, InterruptedException {
        for (Node node : nodes) {
            node.start();
        }
        for (Node node : nodes) {
            await(20_000, node.name + " is not ready", node::isReady);
            node.wasReady = true;
        }
        note("%d nodes are ready", nodes.size());
    }

    /** Returns the node that runs the batches, as the nodes' own logs tell. */
    Node awaitRunner() throws Exception {
        List<Node> found = new ArrayList<>();
        await(15_000, "no node runs the batches", () -> {
            found.clear();
            for (Node node : nodes) {
                if (node.logged("this node was elected to run the batches") > 0) {
                    found.add(node);
                }
            }
            return !found.isEmpty();
        });
        return found.getLast();
    }

    interface Condition {
        boolean holds() throws Exception;
    }

    /** Waits for a condition; the case cannot run without it. */
    static void await(long limitMs, String otherwise, Condition condition) throws InterruptedException {
        long end = System.nanoTime() + limitMs * 1_000_000;
        while (System.nanoTime() < end) {
            try {
                if (condition.holds()) {
                    return;
                }
            } catch (InterruptedException e) {
                throw e;
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
            Thread.sleep(50);
        }
        throw new IllegalStateException(otherwise);
    }

    long nowMs() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void note(String text, Object... args) {
        String line = String.format("%7d ms  %s", nowMs(), String.format(text, args));
        record.println(line);
        System.out.println(line);
    }

    /** Keeps the last lines of a process's output, for whoever reads the record. */
    void noteLog(Node node, String text, int most) throws IOException {
        List<String> lines = node.log().stream().filter(l -> l.contains(text)).toList();
        lines.stream().skip(Math.max(0, lines.size() - most)).forEach(l -> note("log of %s: %s", node.name, l));
    }

    @Override
    public void close() throws IOException {
        closing = true;
        for (Node node : nodes) {
            if (node.process() != null) {
                node.process().destroyForcibly();
                try {
                    node.process().waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
            node.toStore.close();
        }
        for (AutoCloseable other : others) {
            try {
                other.close();
            } catch (Exception e) {
                note("a stand-in did not close: %s", e);
            }
        }
        store.close();
        if (System.getenv("KEEP") == null) {
            try (Stream<Path> files = Files.list(folder)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
            Files.delete(folder);
        } else {
            note("kept %s", folder);
        }
        record.close();
    }

    /** Returns the words of the run line of the gateway's role in the deploy file. */
    static List<String> gatewayCommand() throws IOException {
        String file = Files.readString(Path.of("deploy/system.toml"));
        Matcher run = Pattern.compile("\\[roles\\.gateway]\\s+run = \"([^\"]+)\"").matcher(file);
        if (!run.find()) {
            throw new IllegalStateException("deploy/system.toml has no run line of the gateway");
        }
        return List.of(run.group(1).split(" "));
    }

    private static InetSocketAddress address(String ip) throws IOException {
        return new InetSocketAddress(InetAddress.getByName(ip), freePort(ip));
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static final String BATCH_ROUTE = """
            {"Name":"r-lots","Host":"%s","PathPrefix":"/lots/","Type":"rollout","TimeoutMs":10000,"GoalMs":500,
             "Priority":1,"Service":"coachgen","MaxAttempts":3,"MaxQueueS":40.0,"DueMs":7500,"SingleVersion":false,
             "Public":false,"Sticky":true,"Resumable":true}""".formatted(ROLLOUTS);

    /** Returns a configuration as the pages show it; {@code extraRoutes} is a list of further routes. */
    static String config(long version, String extraRoutes) {
        return configOf(version, extraRoutes.isEmpty() ? BATCH_ROUTE : BATCH_ROUTE + "," + extraRoutes);
    }

    /** Returns a configuration that has dropped the route of the batches, and nothing else. */
    static String configWithoutBatchRoute(long version) {
        return configOf(version, "");
    }

    private static String configOf(long version, String otherRoutes) {
        return """
                {"Version":%d,"Routes":[
                  {"Name":"r-book","Host":"%s","PathPrefix":"/book/","Type":"idempotent","TimeoutMs":1500,"GoalMs":185,
                   "Priority":2,"Service":"benchdesk","MaxAttempts":2,"Public":false}%s],
                 "Services":[
                  {"Name":"coachgen","HealthPath":"/healthz","MaxConns":170,"Protocol":"h1","Tls":false,
                   "Engine":{"Slots":16,"KvCapacity":46869,"Stride":65,"Models":[{"Name":"m0"}]}},
                  {"Name":"benchdesk","HealthPath":"/healthz","MaxConns":110,"Protocol":"h1","Tls":false}],
                 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":33554432,"HeaderTimeoutMs":3000,
                  "IdleTimeoutMs":15000},
                 "Tenants":[{"Name":"oak","ApiKeys":["%s"],"Priority":1}]}
                """.formatted(version, DESK, otherRoutes.isEmpty() ? "" : "," + otherRoutes, KEY);
    }

    /** Returns a batch submission whose items are in groups of two. */
    static String batch(String id, String prefix, int items) {
        StringBuilder list = new StringBuilder();
        for (int i = 0; i < items; i++) {
            list.append(i == 0 ? "" : ",").append("""
                    {"Id":"%s-%d","Path":"%s%d","Headers":{"X-Model":"m0","X-Token-Usage":"271,650"},
                     "Body":"q83vEjRWeJA=","Tokens":921,"Group":"%s-g%d"}""".formatted(id, i, prefix, i, id, i / 2));
        }
        return "{\"Step\":1,\"Model\":\"m0\",\"MinVersion\":1,\"Desired\":%d,\"Items\":[%s]}"
                .formatted(Math.max(1, items / 2), list);
    }

    static Map<String, String> headers(String host, String id, long deadlineMs) {
        return Map.of(
                "Host", host,
                "Authorization", "Token " + KEY,
                "X-Attempt-Id", id,
                "X-Deadline-Ms", Long.toString(deadlineMs));
    }
}

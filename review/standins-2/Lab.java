import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedWriter;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: the stand-ins of the platform in this process, and the nodes as processes
 * that are started by the run line of the deploy file. Writes what is sent, answered and run to record.txt.
 */
final class Lab implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long READY_LIMIT_MS = 20_000;
    private static final int BEAT_MS = 1_200;

    /** The time that a load of weights takes; on the sheet 0.9 s. */
    final long loadMs = 900;

    final Store store;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final List<Sampler> samplers = new CopyOnWriteArrayList<>();
    final List<Node> nodes = new ArrayList<>();
    private final HttpServer cloud;
    private final BufferedWriter record;
    private final Path root = Path.of("").toAbsolutePath();
    private final Path folder;
    // The metrics port is the same for all nodes, so each node and each run of a case has an address of its own.
    private final String network =
            "127." + ThreadLocalRandom.current().nextInt(1, 250) + "." + ThreadLocalRandom.current().nextInt(250) + ".";
    private final long startNanos = System.nanoTime();
    private final List<Run> runs = new CopyOnWriteArrayList<>();
    private final Thread cleaner = new Thread(this::endProcesses);
    private volatile boolean closed;
    private volatile boolean quiet;
    private boolean recordClosed;

    /** One run at a sampler, with the time at which it began. */
    record Run(long atMs, String sampler, String id, String tenant) {}

    /** One node process. */
    static final class Node {
        final String name;
        final InetSocketAddress front;
        final InetSocketAddress ready;
        final InetSocketAddress directory;
        final InetSocketAddress metrics;
        final Path settings;
        final Path log;
        Process process;

        Node(String name, InetSocketAddress front, InetSocketAddress ready, InetSocketAddress directory,
                InetSocketAddress metrics, Path settings, Path log) {
            this.name = name;
            this.front = front;
            this.ready = ready;
            this.directory = directory;
            this.metrics = metrics;
            this.settings = settings;
            this.log = log;
        }
    }

    interface Scenario {
        /** Plays the case; returns whether the rule was broken. */
        boolean play(Lab lab) throws Exception;
    }

    Lab(Path caseFolder) throws IOException {
        record = Files.newBufferedWriter(caseFolder.resolve("record.txt"));
        folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(cleaner);
        store = new Store();
        cloud = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 100);
        cloud.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        cloud.createContext("/", call -> {
            call.getRequestBody().readAllBytes();
            call.sendResponseHeaders(200, -1);
            call.close();
        });
        cloud.start();
    }

    /** Runs a scenario and exits with its result. */
    static void main(String caseFolder, Scenario scenario) {
        int result = NOT_RUN;
        try (Lab lab = new Lab(Path.of(caseFolder))) {
            try {
                lab.record("TROUBLE=" + (lab.trouble ? 1 : 0));
                boolean broken = scenario.play(lab);
                lab.record(broken ? "the rule was broken" : "the rule held");
                result = broken ? BROKEN : HELD;
            } catch (Exception e) {
                lab.record("the case could not run: " + e);
                e.printStackTrace();
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    long nowMs() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void record(String text) {
        if (recordClosed) {
            return;
        }
        try {
            record.write("%8.3f %s%n".formatted(nowMs() / 1_000.0, text));
            record.flush();
        } catch (IOException e) {
            System.err.println("cannot write the record: " + e);
        }
    }

    void ran(String sampler, String id, String tenant) {
        runs.add(new Run(nowMs(), sampler, id, tenant));
        if (!quiet) {
            record("sampler %s: runs %s of tenant %s".formatted(sampler, id, tenant));
        }
    }

    /** Leaves single runs and results out of the record. */
    void quietRuns() {
        quiet = true;
    }

    boolean isClosed() {
        return closed;
    }

    boolean isQuiet() {
        return quiet;
    }

    List<Run> runs() {
        return List.copyOf(runs);
    }

    static JsonNode json(byte[] text) throws IOException {
        return JSON.readTree(text);
    }

    /** Adds a sampler, whose entry is written once a heartbeat. */
    void addSampler(Sampler sampler) throws IOException {
        samplers.add(sampler);
        sampler.beat();
        Thread.ofVirtual().start(() -> {
            while (!closed) {
                try {
                    Thread.sleep(BEAT_MS);
                    sampler.beat();
                } catch (IOException | InterruptedException e) {
                    record("no heartbeat: " + e);
                }
            }
        });
    }

    void operatorWrites(String key, String spec) throws IOException {
        record("store: %s = %s".formatted(key, spec.replaceAll("\\s+", " ")));
        store.put(key, spec);
    }

    /** Starts nodes with the run line of the deploy file and waits until all are ready. */
    void startNodes(int count, int memoryMb) throws IOException, InterruptedException {
        for (int i = 1; i <= count; i++) {
            nodes.add(newNode(i, memoryMb));
        }
        for (Node node : nodes) {
            start(node, memoryMb);
        }
        for (Node node : nodes) {
            awaitReady(node);
        }
        // The nodes find each other and elect the one that runs the batches.
        Thread.sleep(4_000);
        record("all nodes are ready");
    }

    private Node newNode(int number, int memoryMb) throws IOException {
        String ip = network + number;
        String[] zones = {"trent", "soar", "avon"};
        InetSocketAddress[] free = new InetSocketAddress[5];
        List<ServerSocket> held = new ArrayList<>();
        for (int i = 0; i < free.length; i++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip));
            held.add(socket);
            free[i] = new InetSocketAddress(ip, socket.getLocalPort());
        }
        for (ServerSocket socket : held) {
            socket.close();
        }
        String name = "edge-" + zones[(number - 1) % 3] + "-" + number;
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("NodeName", name);
        fields.put("Zone", zones[(number - 1) % 3]);
        fields.put("Region", "midlands");
        fields.put("Ip", ip);
        fields.put("Listen.Front", address(free[0]));
        fields.put("Listen.Ready", address(free[1]));
        fields.put("Listen.Directory", address(free[2]));
        fields.put("InternalPorts.0", Integer.toString(free[3].getPort()));
        fields.put("Platform.Address", "127.0.0.1:" + store.port());
        fields.put("Cloud.Address", "127.0.0.1:" + cloud.getAddress().getPort());
        fields.put("Limits.CpuShare", "0.75");
        fields.put("Limits.Cores", "1");
        fields.put("Limits.MaxFds", "4100");
        fields.put("Limits.MemoryMb", Integer.toString(memoryMb));
        fields.put("Bounds.GraceS", "8");
        fields.put("Bounds.LeaseMs", "3000");
        fields.put("Bounds.ReportWindowS", "5");
        fields.put("Bounds.UsageDelayS", "10");
        String text = fill(Files.readString(root.resolve("deploy/settings.json")), fields);
        Path settings = Files.writeString(folder.resolve(name + ".json"), text);
        return new Node(name, free[0], free[1], free[2], new InetSocketAddress(ip, 9464), settings,
                folder.resolve(name + ".log"));
    }

    private static String fill(String template, Map<String, String> fields) {
        return Pattern.compile("\\{\\{([A-Za-z0-9_.]+)}}")
                .matcher(template)
                .replaceAll(m -> Matcher.quoteReplacement(fields.getOrDefault(m.group(1), "")));
    }

    private static String address(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    void start(Node node, int memoryMb) throws IOException {
        Matcher run = Pattern.compile("roles\\.gateway]\\s*run = \"([^\"]*)\"")
                .matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no run line of the gateway");
        }
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "))
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(node.log.toFile()));
        builder.environment().put("MAGNOLIABRIDGE_NODE_FILE", node.settings.toString());
        builder.environment().put("MAGNOLIABRIDGE_MAX_DESCRIPTORS", "4100");
        builder.environment().put("MAGNOLIABRIDGE_EVACUATE_MS", "");
        // What /proc/meminfo and the list of processors report on a machine of the deployment.
        builder.environment()
                .put("JAVA_TOOL_OPTIONS", "-XX:MaxRAM=" + memoryMb + "m -XX:ActiveProcessorCount=1");
        node.process = builder.start();
        record("node %s: started, process %d".formatted(node.name, node.process.pid()));
    }

    void awaitReady(Node node) throws IOException, InterruptedException {
        long endMs = nowMs() + READY_LIMIT_MS;
        while (nowMs() < endMs) {
            try {
                if (Http.call(node.ready, "GET", "/-/readyz", Map.of("Host", "ready"), new byte[0], 1_000).status()
                        == 200) {
                    return;
                }
            } catch (IOException e) {
                // It does not listen yet.
            }
            Thread.sleep(50);
        }
        throw new IOException("node " + node.name + " is not ready");
    }

    List<String> logged(Node node, String text) throws IOException {
        try (Stream<String> lines = Files.lines(node.log)) {
            return lines.filter(l -> l.contains(text)).toList();
        }
    }

    List<String> lastLines(Node node) throws IOException {
        List<String> lines = Files.readAllLines(node.log);
        return lines.subList(Math.max(0, lines.size() - 2), lines.size());
    }

    /** Makes a client's call, and records it with its answer; the status is 0 without an answer. */
    Http.Message call(Node node, String who, String method, String target, Map<String, String> headers, byte[] body,
            int limitMs) {
        Http.Message answer;
        try {
            answer = Http.call(node.front, method, target, headers, body, limitMs);
        } catch (IOException e) {
            answer = new Http.Message("HTTP/1.1 0 " + e.getMessage(), Map.of(), new byte[0]);
        }
        record("%s: %s %s at %s: %d".formatted(who, method, target, node.name, answer.status()));
        return answer;
    }

    @Override
    public void close() throws IOException {
        closed = true;
        endProcesses();
        cloud.stop(0);
        store.close();
        for (Sampler sampler : samplers) {
            sampler.close();
        }
        closeRecord();
    }

    private synchronized void closeRecord() throws IOException {
        recordClosed = true;
        record.close();
    }

    private synchronized void endProcesses() {
        for (Node node : nodes) {
            if (node.process != null) {
                node.process.destroyForcibly();
            }
        }
        for (Node node : nodes) {
            try {
                if (node.process != null) {
                    node.process.waitFor(5, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        String kept = System.getenv("KEEP_LOGS");
        if (kept == null && Files.exists(folder)) {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
            } catch (IOException e) {
                System.err.println("cannot remove the temporary folder: " + e);
            }
        } else if (kept != null) {
            System.err.println("logs in " + folder);
        }
    }
}

package org.magnoliabridge.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;

/**
 * Plays the trainer and the callers of the demo against running nodes, and logs what they saw.
 *
 * <p>Arguments: the run's folder, which holds {@code driver.json} and gets {@code observed.ndjson}. It ends when the
 * trainer has run its steps and the file {@code finish} exists. Exit codes: 0 all steps whole, 1 a step failed, 2 wrong
 * arguments.
 */
public final class DemoDriver {
    private static final long CALL_LIMIT_MS = 20_000;
    private static final long STATUS_PERIOD_MS = 500;
    private static final long FINISH_POLL_MS = 200;
    private static final long SEED = 20_261_204;

    private final DemoConfig config;
    private final ObservationLog log;
    private final RandomGenerator.SplittableGenerator random = new SplittableRandom(SEED);
    private final List<Thread> threads = new ArrayList<>();
    private final AtomicBoolean end = new AtomicBoolean();

    private DemoDriver(DemoConfig config, ObservationLog log) {
        this.config = config;
        this.log = log;
    }

    /** Runs the demo's callers in the folder that the argument names. */
    public static void main(String[] args) throws IOException, BadCallException, InterruptedException {
        PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);
        if (args.length != 1) {
            out.println("usage: DemoDriver FOLDER");
            System.exit(2);
        }
        boolean whole = drive(Path.of(args[0]));
        out.println(whole ? "all steps whole" : "a step failed");
        System.exit(whole ? 0 : 1);
    }

    /** Runs trainer and callers in a folder; returns whether all steps were whole. */
    static boolean drive(Path folder) throws IOException, BadCallException, InterruptedException {
        DemoConfig config = DemoConfig.parse(Files.readAllBytes(folder.resolve("driver.json")));
        try (ObservationLog log = new ObservationLog(folder.resolve("observed.ndjson"))) {
            return new DemoDriver(config, log).run(folder.resolve("finish"));
        }
    }

    private boolean run(Path finish) throws InterruptedException {
        AtomicBoolean whole = new AtomicBoolean(true);
        List<Thread> trainers = new ArrayList<>();
        for (DemoConfig.Member team : config.teams()) {
            JsonClient client = new JsonClient(CALL_LIMIT_MS);
            NodeDirectory nodes = new NodeDirectory(client, team.dc(), config.callers(), random.split());
            if (team.role().equals("trainer")) {
                DemoTrainer trainer = new DemoTrainer(config, team, client, nodes, log);
                trainers.add(start("trainer-" + team.team(), () -> {
                    if (!trainer.run()) {
                        whole.set(false);
                    }
                }));
            } else {
                DemoCaller caller = new DemoCaller(config, team, client, nodes, log, random.split());
                threads.add(start("caller-" + team.team(), () -> caller.run(end)));
            }
        }
        threads.add(start("watcher", this::watch));
        for (Thread trainer : trainers) {
            trainer.join();
        }
        while (!Files.exists(finish)) {
            Thread.sleep(FINISH_POLL_MS);
        }
        end.set(true);
        for (Thread thread : threads) {
            thread.join();
        }
        return whole.get();
    }

    @FunctionalInterface
    private interface Task {
        void run() throws InterruptedException;
    }

    private static Thread start(String name, Task task) {
        return Thread.ofVirtual().name(name).start(() -> {
            try {
                task.run();
            } catch (InterruptedException e) {
                // The driver ends its callers this way.
                Thread.currentThread().interrupt();
            }
        });
    }

    private void watch() throws InterruptedException {
        try (JsonClient client = new JsonClient(STATUS_PERIOD_MS)) {
            while (!end.get()) {
                for (InetSocketAddress node : config.operators()) {
                    status(client, node);
                }
                Thread.sleep(STATUS_PERIOD_MS);
            }
        }
    }

    private void status(JsonClient client, InetSocketAddress node) throws InterruptedException {
        try {
            JsonNode status = client.get(node, "/admin/status").json();
            ObjectNode line = Json.object()
                    .put("type", "status")
                    .put("node", node.getAddress().getHostAddress() + ":" + node.getPort())
                    .put("at_ms", System.currentTimeMillis())
                    .put("state", status.path("state").asText());
            log.add(line.put("bundle_version", status.path("bundle_version").asLong())
                    .put(
                            "withdrawals_version",
                            status.path("withdrawals_version").asLong()));
        } catch (IOException e) {
            log.add(Json.object()
                    .put("type", "no_status")
                    .put("node", node.getAddress().getHostAddress() + ":" + node.getPort()));
        }
    }
}

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One entry node is killed shortly after it has started, while clients of one team wait there for results. It is back
 * within a second, and clients of another team read their batch there.
 */
public final class CrossedAnswers {
    private static final int WAITING = 12;
    private static final int READERS = 60;
    private static final int ROUNDS = 16;
    private static final long LAST_ROUND_NANOS = 80_000_000_000L;
    private static final int ITEMS = 60;
    private static final long READ_BEFORE_KILL_NANOS = 30_000_000L;
    private static final long ANNOUNCE_PERIOD_NANOS = 1_000_000_000L;
    private static final long ANNOUNCED_AFTER_KILL_NANOS = 800_000_000L;
    private static final String ANNOUNCED = "node announced as the batch runner";
    private static final String GROWING = "f1a0b1c2d3e4f506";
    private static final String RUNNING = "a9b8c7d6e5f40312";

    private final Lab.Record record;
    private final AtomicInteger wrong = new AtomicInteger();
    private final AtomicInteger foreign = new AtomicInteger();
    private final AtomicInteger sound = new AtomicInteger();
    private int announcedBefore;
    private final Map<String, List<String>> items = new ConcurrentHashMap<>();

    private CrossedAnswers(Lab.Record record) {
        this.record = record;
    }

    public static void main(String[] args) throws Exception {
        long start = System.nanoTime();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status;
        try (Lab.Record record = new Lab.Record(Path.of("review/11/record.txt"));
                Lab lab = new Lab(record)) {
            try {
                status = new CrossedAnswers(record).run(lab, trouble, start);
            } catch (IllegalStateException | IOException e) {
                record.line("the case could not run: %s", e);
                status = 2;
            }
            record.line("exit status %d", status);
        }
        System.exit(status);
    }

    private int run(Lab lab, boolean trouble, long start) throws Exception {
        lab.store.put("config", "main", Lab.config(1, "team1", "team2"));
        for (int i = 0; i < 3; i++) {
            new Sampler("i-00" + i, Lab.ENGINES, Lab.ZONES[i], Lab.MODEL, lab.store, record);
        }
        for (String zone : Lab.ZONES) {
            lab.addNode(zone);
        }
        for (Lab.Node node : lab.nodes) {
            node.awaitReady(30_000);
        }
        Thread.sleep(3_000);
        Lab.Node runner = runner(lab);
        List<Lab.Node> others = new ArrayList<>(lab.nodes);
        others.remove(runner);
        Lab.Node killed = others.get(0);
        Lab.Node third = others.get(1);
        record.line("%s runs the batches; %s is to be killed", runner.name, killed.name);
        // A result of the first batch each 1.6 s, and none of the second one during the test.
        submit(third, "team1", GROWING, ITEMS, 16, 100);
        submit(third, "team2", RUNNING, 2, 1_000, 100);
        for (int round = 1; round <= ROUNDS && foreign.get() == 0; round++) {
            if (System.nanoTime() - start > LAST_ROUND_NANOS) {
                record.line("no time for another round");
                break;
            }
            round(killed, third, round, trouble);
        }
        record.line("%d answers were sound, %d were those to other requests, %d of these with results of the other team",
                sound.get(), wrong.get(), foreign.get());
        return wrong.get() > 0 ? 1 : sound.get() > 0 ? 0 : 2;
    }

    private void round(Lab.Node killed, Lab.Node third, int round, boolean trouble) throws Exception {
        record.line("round %d", round);
        if (trouble) {
            restart(killed);
        }
        long announced = announced(killed, trouble);
        int known = results(third, "team1", GROWING, 0, 0).path("Results").size();
        // The runner announces itself each second. The second process is to learn of it soon after it has started.
        long kill = announced + ANNOUNCE_PERIOD_NANOS - ANNOUNCED_AFTER_KILL_NANOS;
        AtomicBoolean go = new AtomicBoolean(true);
        sleepUntil(kill - READ_BEFORE_KILL_NANOS);
        List<Thread> readers = readers(WAITING, killed, "team1", GROWING, known, go);
        sleepUntil(kill);
        go.set(false);
        if (trouble) {
            restart(killed);
        }
        AtomicBoolean goOn = new AtomicBoolean(true);
        readers.addAll(readers(READERS, killed, "team2", RUNNING, 0, goOn));
        Thread.sleep(1_200);
        goOn.set(false);
        for (Thread reader : readers) {
            reader.join();
        }
    }

    private void restart(Lab.Node node) throws Exception {
        announcedBefore = node.logged(ANNOUNCED);
        node.kill();
        node.start();
        node.awaitReady(20_000);
    }

    /** Waits until a process has learned which node runs the batches. */
    private long announced(Lab.Node node, boolean trouble) throws Exception {
        long end = System.nanoTime() + 5_000_000_000L;
        while (trouble && node.logged(ANNOUNCED) == announcedBefore && System.nanoTime() < end) {
            Thread.sleep(10);
        }
        return System.nanoTime();
    }

    private static void sleepUntil(long nanos) throws InterruptedException {
        Thread.sleep(Math.max(0, (nanos - System.nanoTime()) / 1_000_000));
    }

    private static Lab.Node runner(Lab lab) throws IOException {
        for (Lab.Node node : lab.nodes) {
            if (node.logged("this node was elected to run the batches") > 0) {
                return node;
            }
        }
        throw new IllegalStateException("no node runs the batches");
    }

    private void submit(Lab.Node node, String team, String batch, int count, int events, long gapMs)
            throws IOException {
        List<String> ids = new ArrayList<>();
        for (int i = 10; i < 10 + count; i++) {
            ids.add(batch.substring(0, 14) + i);
        }
        items.put(batch, ids);
        Map<String, String> headers = Lab.headers(team);
        headers.put("X-Attempt-Id", batch);
        headers.put("X-Deadline-Ms", "4000");
        int status = node.call("POST", "/pufi791/" + batch, headers, Lab.batch(ids, events, gapMs), 6_000).status();
        record.line("%s answers %d to batch %s of %s with items %s", node.name, status, batch, team, ids);
        if (status != 202) {
            throw new IllegalStateException("the batch was not accepted");
        }
    }

    private JsonNode results(Lab.Node node, String team, String batch, int after, int waitMs) throws IOException {
        Map<String, String> headers = Lab.headers(team);
        headers.put("X-Wait-Ms", Integer.toString(waitMs));
        Http.Answer answer = node.call("GET", "/-/lots/" + batch + "?After=" + after, headers, new byte[0], waitMs + 1_500);
        if (answer.status() != 200) {
            record.line("%s answers %d to a read of batch %s by %s", node.name, answer.status(), batch, team);
            throw new IOException("status " + answer.status());
        }
        return Lab.json(answer);
    }

    private List<Thread> readers(int count, Lab.Node node, String team, String batch, int after,
            AtomicBoolean go) {
        List<Thread> readers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            readers.add(Thread.ofVirtual().start(() -> {
                try {
                    while (go.get()) {
                        try {
                            check(node, team, batch, results(node, team, batch, after, 1_000));
                        } catch (IOException e) {
                            record.line("a read of batch %s at %s by %s gets no result: %s", batch, node.name, team, e);
                        }
                        Thread.sleep(100);
                    }
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }));
        }
        return readers;
    }

    private void check(Lab.Node node, String team, String batch, JsonNode page) {
        boolean own = page.path("Total").asInt() == items.get(batch).size();
        List<String> ids = new ArrayList<>();
        for (JsonNode result : page.path("Results")) {
            ids.add(result.path("Id").asText());
            own &= items.get(batch).contains(result.path("Id").asText());
        }
        if (own) {
            sound.incrementAndGet();
        } else {
            wrong.incrementAndGet();
            foreign.addAndGet(ids.isEmpty() ? 0 : 1);
        }
        record.line("%s%s answers to a read of batch %s by %s: Total %s, items %s", own ? "" : "WRONG: ", node.name,
                batch, team, page.path("Total"), ids);
    }
}

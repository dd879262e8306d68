import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two trainers submit one step after the other. Each step is inside the limits of the configuration, and is read, ended and
 * followed by the next one, as PROTOCOL.md says. No process may end by itself.
 */
final class LargeStepsCase {
    private static final int SAMPLERS = 3;
    private static final int SLOTS = 12;
    private static final int MEMORY_MB = 430;
    private static final int ITEMS = 512;
    private static final int LARGE_BODY_BYTES = 44_000;
    // As on the sheet.
    private static final int BODY_BYTES = 600;
    private static final int DEADLINE_MS = 12_000;
    private static final long EVERY_MS = 4_000;
    private static final long LENGTH_MS = 90_000;
    private static final int MIN_ENDS = 3;
    private static final int MIN_MACHINES = 2;

    private LargeStepsCase() {}

    public static void main(String[] args) {
        Lab.main(args[0], LargeStepsCase::play);
    }

    private static boolean play(Lab lab) throws Exception {
        String[] zones = {"trent", "soar", "avon"};
        Sampler.Script script = new Sampler.Script() {
            @Override
            public int events(Http.Message request) {
                return 2;
            }

            @Override
            public long eventMs(Http.Message request) {
                return 20;
            }
        };
        lab.quietRuns();
        lab.operatorWrites("config/main", Deployment.config(3, SLOTS, 3, ""));
        for (int i = 0; i < SAMPLERS; i++) {
            lab.addSampler(new Sampler(lab, "i-7f3a91c" + i, "coachgen", zones[i], "m0", SLOTS, script));
        }
        lab.startNodes(3, MEMORY_MB);
        AtomicInteger ends = new AtomicInteger();
        List<String> machines = new ArrayList<>();
        for (Lab.Node node : lab.nodes) {
            Thread.ofVirtual().start(() -> restart(lab, node, ends, machines));
        }
        long endMs = lab.nowMs() + LENGTH_MS;
        Thread one = Thread.ofVirtual().start(
                () -> train(lab, "trainer A", "i9n73hh2b9wu3fexd9dn", "a", endMs, ends, machines));
        Thread two = Thread.ofVirtual().start(
                () -> train(lab, "trainer B", "w2m45kk8d3rt6hjyf1qp", "b", endMs, ends, machines));
        one.join();
        two.join();
        synchronized (machines) {
            lab.record("processes ended by themselves %d times, on %s".formatted(ends.get(), machines));
        }
        return isBroken(ends, machines);
    }

    private static void train(Lab lab, String who, String key, String ids, long endMs, AtomicInteger ends,
            List<String> machines) {
        try {
            Random random = new Random(ids.hashCode());
            for (int step = 0; lab.nowMs() < endMs && !isBroken(ends, machines); step++) {
                long nextMs = lab.nowMs() + EVERY_MS;
                step(lab, newStep(lab, who, key, ids, step, random), step);
                Thread.sleep(Math.max(0, nextMs - lab.nowMs()));
            }
        } catch (Exception e) {
            lab.record(who + ": " + e);
        }
    }

    private static Trainer newStep(Lab lab, String who, String key, String ids, int step, Random random) {
        List<Trainer.Item> items = new ArrayList<>();
        for (int i = 0; i < ITEMS; i++) {
            byte[] body = new byte[lab.trouble ? LARGE_BODY_BYTES : BODY_BYTES];
            random.nextBytes(body);
            items.add(new Trainer.Item(ids + step + "i" + i, ids + step + "g" + i / 8, 160, Map.of(), body));
        }
        return new Trainer(lab, who, key, ids + "c41e09b52d6a3" + (10 + step), Deployment.HOST, Deployment.LOTS, items);
    }

    private static void step(Lab lab, Trainer trainer, int step) throws Exception {
        int status = 0;
        for (int attempt = 0; attempt < 2 && status != 202; attempt++) {
            status = trainer.submit(lab.nodes.get((step + attempt) % 3), step, 1, ITEMS / 8, 4_000);
        }
        if (status == 202) {
            trainer.readAll(trainer.acceptedAtMs + DEADLINE_MS);
            lab.record("%s: step %d has %d of %d items listed".formatted(trainer.who, step, trainer.results.size(), ITEMS));
            trainer.end(lab.nodes.get((step + 1) % 3));
        }
    }

    private static boolean isBroken(AtomicInteger ends, List<String> machines) {
        synchronized (machines) {
            return ends.get() >= MIN_ENDS && machines.size() >= MIN_MACHINES;
        }
    }

    // The platform restarts a process that exits after a short delay.
    private static void restart(Lab lab, Lab.Node node, AtomicInteger ends, List<String> machines) {
        try {
            while (true) {
                int code = node.process.waitFor();
                if (lab.isClosed()) {
                    return;
                }
                synchronized (machines) {
                    ends.incrementAndGet();
                    if (!machines.contains(node.name)) {
                        machines.add(node.name);
                    }
                }
                lab.record("node %s: ended by itself with code %d; last lines of its log: %s".formatted(
                        node.name, code, lab.lastLines(node)));
                Thread.sleep(500);
                lab.start(node, MEMORY_MB);
            }
        } catch (Exception e) {
            lab.record("node " + node.name + ": " + e);
        }
    }
}

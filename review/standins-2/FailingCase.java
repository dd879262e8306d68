/**
 * The items of one tenant's steps fail at each run: the samplers answer 500, as PROTOCOL.md allows. The steps of another
 * tenant must still get their items to the samplers, which are idle and sound.
 */
final class FailingCase {
    private static final int SAMPLERS = 3;
    private static final int SLOTS = 4;
    private static final int FAILING = 40;
    private static final int ITEMS = 24;
    private static final int DEADLINE_MS = 12_000;
    private static final long TRAIN_MS = 500;
    private static final long LENGTH_MS = 80_000;

    private FailingCase() {}

    public static void main(String[] args) {
        Lab.main(args[0], FailingCase::play);
    }

    private static boolean play(Lab lab) throws Exception {
        String[] zones = {"trent", "soar", "avon"};
        Sampler.Script script = new Sampler.Script() {
            @Override
            public int status(Http.Message request) {
                return lab.trouble && request.header("X-Attempt-Id").startsWith("a") ? 500 : 200;
            }
        };
        lab.operatorWrites("config/main", Deployment.config(3, SLOTS, 3, ""));
        for (int i = 0; i < SAMPLERS; i++) {
            lab.addSampler(new Sampler(lab, "i-7f3a91c" + i, "coachgen", zones[i], "m0", SLOTS, script));
        }
        lab.startNodes(3, 430);
        long endMs = lab.nowMs() + LENGTH_MS;
        Thread.ofVirtual().start(() -> trainerA(lab, endMs));
        Thread.sleep(500);
        int lost = 0;
        int steps = 0;
        for (int step = 0; lost == 0 && lab.nowMs() < endMs; step++) {
            Trainer b = new Trainer(lab, "trainer B", "w2m45kk8d3rt6hjyf1qp", "9d52f1ac63e7b4" + (10 + step),
                    Deployment.HOST, Deployment.LOTS, Trainer.items("b" + step + "x", ITEMS));
            if (b.submit(lab.nodes.get(step % 3), step, 1, 3, 4_000) != 202) {
                throw new IllegalStateException("a step was not accepted");
            }
            steps++;
            lost += StepCheck.outOfTime(lab, b, SAMPLERS * SLOTS, DEADLINE_MS) ? 1 : 0;
            b.end(lab.nodes.get(0));
            Thread.sleep(TRAIN_MS);
        }
        lab.record("trainer B: %d of %d steps were lost".formatted(lost, steps));
        return lost > 0;
    }

    private static void trainerA(Lab lab, long endMs) {
        try {
            for (int step = 0; lab.nowMs() < endMs; step++) {
                Trainer a = new Trainer(lab, "trainer A", "i9n73hh2b9wu3fexd9dn", "7c41e09b52d6a3" + (10 + step),
                        Deployment.HOST, Deployment.LOTS, Trainer.items("a" + step + "x", FAILING));
                a.submit(lab.nodes.get(step % 3), step, 1, 5, 4_000);
                a.readAll(lab.nowMs() + DEADLINE_MS);
                a.end(lab.nodes.get(1));
                Thread.sleep(TRAIN_MS);
            }
        } catch (Exception e) {
            lab.record("trainer A: " + e);
        }
    }
}

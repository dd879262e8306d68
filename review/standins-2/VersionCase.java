import java.util.List;
import java.util.Map;

/**
 * One item of one tenant names the version of the weights that it expects (X-Expect-Version). The samplers have a newer
 * one and answer 421, as PROTOCOL.md says. The steps of another tenant must still get their items to the samplers.
 */
final class VersionCase {
    private static final int SAMPLERS = 4;
    private static final int SLOTS = 4;
    private static final int ITEMS = 48;
    private static final int DEADLINE_MS = 12_000;

    private VersionCase() {}

    public static void main(String[] args) {
        Lab.main(args[0], VersionCase::play);
    }

    private static boolean play(Lab lab) throws Exception {
        String[] zones = {"trent", "soar", "avon"};
        lab.operatorWrites("config/main", Deployment.config(3, SLOTS, 3, ""));
        for (int i = 0; i < SAMPLERS; i++) {
            lab.addSampler(new Sampler(lab, "i-7f3a91c" + i, "coachgen", zones[i % 3], "m0", SLOTS, new Sampler.Script() {}));
        }
        lab.startNodes(3, 430);
        lab.operatorWrites("versions/m0", "{\"Model\":\"m0\",\"Version\":2}");
        awaitVersion(lab, 2);
        // No version is named in the 6 s before the steps.
        Thread.sleep(6_500);

        String expected = lab.trouble ? "1" : "2";
        Trainer a = new Trainer(lab, "trainer A", "i9n73hh2b9wu3fexd9dn", "7c41e09b52d6a3f8", Deployment.HOST,
                Deployment.LOTS,
                List.of(new Trainer.Item("a0", "ga", 736, Map.of("X-Expect-Version", expected), new byte[] {1})));
        Trainer b = new Trainer(lab, "trainer B", "w2m45kk8d3rt6hjyf1qp", "9d52f1ac63e7b409", Deployment.HOST,
                Deployment.LOTS, Trainer.items("b", ITEMS));
        if (a.submit(lab.nodes.get(0), 2, 1, 1, 4_000) != 202 || b.submit(lab.nodes.get(1), 2, 1, 6, 4_000) != 202) {
            throw new IllegalStateException("a step was not accepted");
        }
        boolean broken = StepCheck.outOfTime(lab, b, SAMPLERS * SLOTS, DEADLINE_MS);
        lab.record("trainer A: ends its step");
        a.end(lab.nodes.get(2));
        b.end(lab.nodes.get(2));
        Trainer next = new Trainer(lab, "trainer B", "w2m45kk8d3rt6hjyf1qp", "ae63a2bd74f8c51a", Deployment.HOST,
                Deployment.LOTS, Trainer.items("c", 12));
        if (next.submit(lab.nodes.get(2), 3, 1, 2, 4_000) == 202) {
            StepCheck.outOfTime(lab, next, SAMPLERS * SLOTS, DEADLINE_MS);
        }
        return broken;
    }

    private static void awaitVersion(Lab lab, int version) throws InterruptedException {
        for (int i = 0; i < 300 && lab.samplers.stream().anyMatch(s -> s.version() != version); i++) {
            Thread.sleep(100);
        }
        if (lab.samplers.stream().anyMatch(s -> s.version() != version)) {
            throw new IllegalStateException("not all samplers have the version");
        }
    }
}

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Two tenants train with the same program on the same prompts, so that their items have the same ids, paths, headers and
 * bodies. Each must get the output of its own items, which the samplers run for its own tenant.
 */
final class ForeignTextCase {
    private static final int SAMPLERS = 3;
    private static final int SLOTS = 4;
    private static final int ITEMS = 8;
    private static final int EVENTS = 10;
    private static final int DEADLINE_MS = 12_000;

    private ForeignTextCase() {}

    public static void main(String[] args) {
        Lab.main(args[0], ForeignTextCase::play);
    }

    private static String event(String tenant, String id, int number) {
        return "event %d of %s for %s".formatted(number, id, tenant);
    }

    private static String output(String tenant, String id) {
        return IntStream.rangeClosed(1, EVENTS).mapToObj(n -> event(tenant, id, n)).collect(Collectors.joining("\n"));
    }

    private static boolean play(Lab lab) throws Exception {
        String[] zones = {"trent", "soar", "avon"};
        // The output depends on what the sampler gets of an item, of which the tenant is a part.
        Sampler.Script script = new Sampler.Script() {
            @Override
            public int events(Http.Message request) {
                return EVENTS;
            }

            @Override
            public byte[] event(Http.Message request, int number) {
                return ForeignTextCase.event(request.header("X-Tenant"), request.header("X-Attempt-Id"), number)
                        .getBytes(StandardCharsets.UTF_8);
            }
        };
        lab.operatorWrites("config/main", Deployment.config(3, SLOTS, 3, ""));
        for (int i = 0; i < SAMPLERS; i++) {
            lab.addSampler(new Sampler(lab, "i-7f3a91c" + i, "coachgen", zones[i], "m0", SLOTS, script));
        }
        lab.startNodes(3, 430);
        Trainer a = step(lab, "trainer A", "i9n73hh2b9wu3fexd9dn", "7c41e09b52d6a3f8", "step0-");
        int foreign = play(lab, a, "kaje80");
        Trainer b = step(lab, "trainer B", "w2m45kk8d3rt6hjyf1qp", "9d52f1ac63e7b409", lab.trouble ? "step0-" : "step0b-");
        foreign += play(lab, b, "vopu11");
        return foreign > 0;
    }

    private static Trainer step(Lab lab, String who, String key, String batch, String ids) {
        List<Trainer.Item> items = new ArrayList<>();
        for (int i = 0; i < ITEMS; i++) {
            items.add(new Trainer.Item(ids + i, ids + "group" + i / 4, 736));
        }
        return new Trainer(lab, who, key, batch, Deployment.HOST, Deployment.LOTS, items);
    }

    /** Plays one step and returns how many of its results are not the output for its tenant. */
    private static int play(Lab lab, Trainer step, String tenant) throws Exception {
        if (step.submit(lab.nodes.get(0), 0, 1, 2, 4_000) != 202) {
            throw new IllegalStateException("a step was not accepted");
        }
        boolean whole = step.readAll(step.acceptedAtMs + DEADLINE_MS);
        step.end(lab.nodes.get(1));
        if (!whole) {
            throw new IllegalStateException("a step was not whole in time");
        }
        int foreign = 0;
        for (JsonNode result : step.results.values()) {
            String id = result.path("Id").asText();
            boolean own = result.path("Text").asText().equals(output(tenant, id));
            long ownRuns = lab.runs().stream().filter(r -> r.id().equals(id) && r.tenant().equals(tenant)).count();
            lab.record("%s: item %s, own output %b, runs for tenant %s: %d, text begins: %s".formatted(
                    step.who, id, own, tenant, ownRuns, result.path("Text").asText().lines().findFirst().orElse("")));
            foreign += own ? 0 : 1;
        }
        lab.record("%s: %d of %d results are not the output for tenant %s".formatted(
                step.who, foreign, step.results.size(), tenant));
        return foreign;
    }
}

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;

/** Reads of a batch after the operator has removed the route that it was submitted on. */
final class DroppedHostCase {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int ITEMS = 8;
    // The largest of the bounds ConfigApplyMs 2,000 and SettleMs 1,000, and half as much again.
    private static final long SETTLED_MS = 3_000;

    private DroppedHostCase() {}

    public static void main(String[] args) throws Exception {
        int code = Lab.NOT_RUN;
        try (Lab lab = new Lab(Path.of(args[0]))) {
            code = run(lab);
        } catch (IllegalStateException e) {
            System.out.println("the case could not run: " + e.getMessage());
        }
        System.exit(code);
    }

    private static int run(Lab lab) throws Exception {
        lab.store.put("config", "main", Lab.config(7, ""));
        Sampler engine = lab.add(new Sampler(lab.ip(2), "i-engine-0"));
        lab.store.put("servers", engine.id(), engine.entry("coachgen", "trent", 16));
        for (String zone : new String[] {"trent", "soar"}) {
            lab.addNode(zone);
        }
        lab.startAll();
        lab.awaitRunner();
        byte[] body = Lab.batch("lot-1", "/lots/", ITEMS).getBytes(StandardCharsets.UTF_8);
        int status = Http.call(lab.nodes.getFirst().front, "POST", "/lots/lot-1",
                Lab.headers(Lab.ROLLOUTS, "lot-1", 12_000), body, 13_000).status();
        lab.note("batch lot-1 submitted: %d", status);
        if (status != 202) {
            throw new IllegalStateException("the batch was not accepted");
        }
        JsonNode[] before = {null};
        Lab.await(10_000, "the items were not served", () -> {
            Http.Answer read = read(lab.nodes.getFirst());
            before[0] = read.status() == 200 ? JSON.readTree(read.body()).path("Results") : null;
            return before[0] != null && before[0].size() == ITEMS;
        });
        lab.note("%d results were read", before[0].size());

        if (Lab.TROUBLE) {
            lab.store.put("config", "main", Lab.configWithoutBatchRoute(8));
            lab.note("configuration 8 without the route /lots/ is confirmed; the tenant and its key stay");
        } else {
            lab.store.put("config", "main", Lab.config(8, ""));
            lab.note("configuration 8 is confirmed; the routes stay");
        }
        Thread.sleep(SETTLED_MS);
        int lost = 0;
        int found = 0;
        for (int i = 0; i < 6; i++) {
            for (Lab.Node node : List.copyOf(lab.nodes)) {
                Http.Answer read = read(node);
                boolean same = read.status() == 200 && JSON.readTree(read.body()).path("Results").equals(before[0]);
                lab.note("read of lot-1 at %s: %d%s", node.name, read.status(), same ? ", the same results" : "");
                if (read.status() == 404 || read.status() == 410) {
                    lost++;
                } else if (same) {
                    found++;
                }
            }
            Thread.sleep(500);
        }
        lab.note("%d reads found the results, %d were answered that there is no such batch", found, lost);
        return lost > 0 ? 1 : found > 0 ? 0 : Lab.NOT_RUN;
    }

    private static Http.Answer read(Lab.Node node) {
        return Http.call(node.front, "GET", "/-/lots/lot-1?After=0", Lab.headers(Lab.ROLLOUTS, "read", 2_500),
                new byte[0], 2_500);
    }
}

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Items at samplers that send a second copy of an answer late, on a connection that is in use again. */
final class ExtraAnswerCase {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int ITEMS = 80;
    // One item in forty can never be done, so that one answer in forty has a second copy: 2.5 in 100.
    private static final Set<String> IMPOSSIBLE = Set.of("lot-1-3", "lot-1-9");

    private ExtraAnswerCase() {}

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
        List<RawSampler> engines = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            // Two samplers of three are faulty.
            boolean faulty = Lab.TROUBLE && i < 2;
            RawSampler engine = lab.add(new RawSampler(lab.ip(2 + i), "i-engine-" + i, IMPOSSIBLE, faulty));
            lab.store.put("servers", engine.id(), engine.entry("coachgen", "trent", 16));
            engines.add(engine);
        }
        lab.addNode("trent");
        lab.addNode("soar");
        lab.startAll();
        Lab.Node runner = lab.awaitRunner();
        Lab.Node entry = lab.nodes.getFirst();
        lab.note("%s runs the batches; the trainer uses %s", runner.name, entry.name);
        byte[] body = Lab.batch("lot-1", "/lots/", ITEMS).getBytes(StandardCharsets.UTF_8);
        int status = Http.call(entry.front, "POST", "/lots/lot-1", Lab.headers(Lab.ROLLOUTS, "lot-1", 12_000), body,
                13_000).status();
        if (status != 202) {
            throw new IllegalStateException("the batch was not accepted, status " + status);
        }
        long acceptedAtMs = lab.nowMs();
        Map<String, String> states = new java.util.LinkedHashMap<>();
        while (states.size() < ITEMS && lab.nowMs() - acceptedAtMs < 30_000) {
            Http.Answer read = Http.call(entry.front, "GET", "/-/lots/lot-1?After=" + states.size(),
                    Lab.headers(Lab.ROLLOUTS, "read", 2_500), new byte[0], 2_500);
            if (read.status() == 200) {
                for (JsonNode result : JSON.readTree(read.body()).path("Results")) {
                    states.put(result.path("Id").asText(), result.path("State").asText());
                }
            }
            Thread.sleep(200);
        }
        lab.note("%d of %d results after %d ms", states.size(), ITEMS, lab.nowMs() - acceptedAtMs);
        Set<String> failedAtSampler = new HashSet<>();
        int answers = 0;
        int copies = 0;
        for (RawSampler engine : engines) {
            answers += engine.sent().size();
            copies += engine.extra().size();
            for (RawSampler.Sent sent : engine.sent()) {
                if (sent.status() == 422) {
                    failedAtSampler.add(sent.id());
                    lab.note("%s answered %s with 422", engine.id(), sent.id());
                }
            }
            engine.extra().forEach(e -> lab.note(
                    "%s sent a second copy of the 422 that names %s, where the answer to %s is due", engine.id(),
                    e.id(), e.expected()));
        }
        lab.note("%d answers, %d second copies", answers, copies);
        int wrong = 0;
        for (Map.Entry<String, String> state : states.entrySet()) {
            if (state.getValue().equals("errored")) {
                boolean foreign = !failedAtSampler.contains(state.getKey());
                lab.note("item %s is errored; %s", state.getKey(),
                        foreign ? "no sampler answered it with 422 or 500" : "it was answered with 422");
                wrong += foreign ? 1 : 0;
            }
        }
        if (wrong > 0) {
            return 1;
        }
        return states.size() == ITEMS && (copies > 0 || !Lab.TROUBLE) ? 0 : Lab.NOT_RUN;
    }
}

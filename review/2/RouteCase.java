import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;

/** A batch on a route that the operator has just added, while the node that runs the batches is cut off the store. */
final class RouteCase {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String NEW_ROUTE = """
            {"Name":"r-new","Host":"%s","PathPrefix":"/fresh/","Type":"rollout","TimeoutMs":10000,"GoalMs":500,
             "Priority":1,"Service":"coachgen","MaxAttempts":3,"MaxQueueS":40.0,"DueMs":7500,"SingleVersion":false,
             "Public":false,"Sticky":true,"Resumable":true}
            """.formatted(Lab.ROLLOUTS);
    private static final long CUT_MS = 5_000;
    private static final int ITEMS = 8;

    private RouteCase() {}

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
        Sampler[] engines = new Sampler[3];
        for (int i = 0; i < engines.length; i++) {
            engines[i] = lab.add(new Sampler(lab.ip(2 + i), "i-engine-" + i));
            lab.store.put("servers", engines[i].id(), engines[i].entry("coachgen", "trent", 16));
        }
        for (String zone : new String[] {"trent", "soar", "avon"}) {
            lab.addNode(zone);
        }
        lab.startAll();
        Lab.Node runner = lab.awaitRunner();
        Lab.Node entry = lab.nodes.stream().filter(n -> n != runner).findFirst().orElseThrow();
        lab.note("%s runs the batches; the trainer uses %s", runner.name, entry.name);
        Thread.sleep(3_000);

        if (Lab.TROUBLE) {
            lab.note("%s is partitioned from the store", runner.name);
            runner.toStore.setCut(true);
        }
        long cutAtMs = lab.nowMs();
        lab.store.put("config", "main", Lab.config(8, NEW_ROUTE));
        lab.note("configuration 8 with the route /fresh/ is confirmed");
        String body = Lab.batch("lot-1", "/fresh/", ITEMS);
        Http.Answer accepted = submit(lab, entry, body);
        for (int i = 0; i < 50 && accepted.status() != 202; i++) {
            Thread.sleep(20);
            accepted = submit(lab, entry, body);
        }
        if (accepted.status() != 202) {
            throw new IllegalStateException("the batch was not accepted, status " + accepted.status());
        }
        long acceptedAtMs = lab.nowMs();
        int errored = 0;
        int completed = 0;
        int position = 0;
        while (position < ITEMS && lab.nowMs() - acceptedAtMs < 20_000) {
            if (runner.toStore.isCut() && lab.nowMs() - cutAtMs >= CUT_MS) {
                lab.note("the partition heals");
                runner.toStore.setCut(false);
            }
            Http.Answer read = Http.call(
                    entry.front,
                    "GET",
                    "/-/lots/lot-1?After=" + position,
                    Map.of("Host", Lab.ROLLOUTS, "Authorization", "Token " + Lab.KEY, "X-Wait-Ms", "500"),
                    new byte[0],
                    2_500);
            if (read.status() == 200) {
                for (JsonNode result : JSON.readTree(read.body()).path("Results")) {
                    lab.note("position %d, %d ms after the 202: item %s is %s", position++, lab.nowMs() - acceptedAtMs,
                            result.path("Id").asText(), result.path("State").asText());
                    if (result.path("State").asText().equals("completed")) {
                        completed++;
                    } else {
                        errored++;
                    }
                }
            }
            Thread.sleep(100);
        }
        int runs = 0;
        for (Sampler engine : engines) {
            for (Sampler.Run r : engine.runs()) {
                runs++;
                lab.note("run at %s: item %s, %s", engine.id(), r.id(), r.did());
            }
        }
        lab.noteLog(runner, "route removed from the configuration", 2);
        lab.noteLog(runner, "configuration in force", 3);
        lab.note("%d items errored and %d completed of %d; %d runs, none answered 422 or 500", errored, completed,
                ITEMS, runs);
        return errored > 0 ? 1 : completed == ITEMS ? 0 : Lab.NOT_RUN;
    }

    private static Http.Answer submit(Lab lab, Lab.Node entry, String body) {
        Http.Answer answer = Http.call(entry.front, "POST", "/fresh/lot-1",
                Lab.headers(Lab.ROLLOUTS, "lot-1", 12_000), body.getBytes(StandardCharsets.UTF_8), 13_000);
        lab.note("batch lot-1 submitted to %s: %d %s", entry.name, answer.status(), answer.failure());
        return answer;
    }
}

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Requests that may run once at most, at a sampler that fails some of them after it has begun to work on them. */
final class OnceCase {
    private static final String ROUTE = """
            {"Name":"r-once","Host":"%s","PathPrefix":"/once/","Type":"non_idempotent","TimeoutMs":1500,"GoalMs":185,
             "Priority":2,"Service":"benchdesk","MaxAttempts":2,"Public":false}
            """.formatted(Lab.DESK);
    private static final int REQUESTS = 40;
    // Two in five, the usual strength of samplers that fail part of their requests.
    private static final int FAILED_OF_FIVE = 2;

    private OnceCase() {}

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
        lab.store.put("config", "main", Lab.config(7, ROUTE));
        List<Sampler> desks = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Sampler desk = lab.add(new Sampler(lab.ip(2 + i), "i-desk-" + i));
            lab.store.put("servers", desk.id(), desk.entry("benchdesk", "trent", 6));
            desks.add(desk);
        }
        lab.addNode("trent");
        lab.addNode("soar");
        lab.startAll();

        if (Lab.TROUBLE) {
            lab.note("one sampler of three fails two in five of its requests after it has run them");
            int[] count = {0};
            desks.getFirst().setFault((exchange, id) -> {
                synchronized (count) {
                    if (count[0]++ % 5 >= FAILED_OF_FIVE) {
                        return null;
                    }
                }
                exchange.getResponseHeaders().set("X-Attempt-Id", id);
                Sampler.answer(exchange, 503, "");
                return "503 after it ran";
            });
        }
        Set<String> promised = new HashSet<>();
        Set<String> all = new HashSet<>();
        for (int i = 0; i < REQUESTS; i++) {
            String id = "once-" + i;
            Lab.Node entry = lab.nodes.get(i % lab.nodes.size());
            Http.Answer answer = Http.call(entry.front, "POST", "/once/" + i, Lab.headers(Lab.DESK, id, 1_500),
                    "book a bench".getBytes(StandardCharsets.UTF_8), 2_500);
            all.add(id);
            lab.note("%s to %s: %d, seal '%s' %s", id, entry.name, answer.status(), answer.header("X-Response-Seal"),
                    answer.failure());
            if (Set.of(408, 421, 429, 503).contains(answer.status())) {
                promised.add(id);
            }
        }
        int broken = 0;
        int runs = 0;
        for (Sampler desk : desks) {
            for (Sampler.Run run : desk.runs()) {
                runs++;
                if (!run.did().equals("200")) {
                    lab.note("run at %s: %s, answered %s", desk.id(), run.id(), run.did());
                }
                if (promised.contains(run.id())) {
                    broken++;
                }
            }
        }
        lab.note("%d requests, %d runs; %d requests were answered that they had not run, and had run", REQUESTS, runs,
                broken);
        return broken > 0 ? 1 : runs >= REQUESTS ? 0 : Lab.NOT_RUN;
    }
}

package org.magnoliabridge.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks refusals, repeats, leaving endpoints and shutdowns: I10, I11, I12, I13. */
final class CallChecks {
    // "After a few seconds": 5 s, plus the instance list's lag, which the script names in the event.
    private static final long LEAVING_MS = 5_000;

    private final DemoRecords records;

    CallChecks(DemoRecords records) {
        this.records = records;
    }

    /** I10: a request ran at most as often as there were attempts that were not answered with "not run". */
    Verdict notRun() {
        Verdict verdict = new Verdict("I10", "refusals that say not run");
        Map<String, Integer> refused = new HashMap<>();
        Map<String, Integer> others = new HashMap<>();
        for (JsonNode call : records.observed("call")) {
            boolean notRun = call.path("run").asText().equals("not_run")
                    || call.path("outcome").asText().equals("not_connected");
            (notRun ? refused : others).merge(call.path("marker").asText(), 1, Integer::sum);
        }
        refused.forEach((marker, count) -> {
            long runs = records.executions(marker).size();
            int allowed = others.getOrDefault(marker, 0);
            // The service may repeat what is not a booking, so with another attempt its runs have no upper limit.
            boolean unlimited = allowed > 0
                    && records.executions(marker).stream()
                            .noneMatch(run -> run.method().equals("POST"));
            boolean holds = unlimited || runs <= allowed;
            for (int i = 0; i < count; i++) {
                verdict.check(holds, "request " + marker + " ran " + runs + " times, " + allowed + " allowed");
            }
        });
        return verdict;
    }

    /** I11: a booking runs at most once, whatever its attempts; one that was confirmed ran. */
    Verdict atMostOnce() {
        Verdict verdict = new Verdict("I11", "bookings asked for");
        Map<String, String> confirmed = new HashMap<>();
        Map<String, Integer> attempts = new HashMap<>();
        for (JsonNode call : records.observed("call")) {
            if (call.path("kind").asText().equals("booking")) {
                String marker = call.path("marker").asText();
                attempts.merge(marker, 1, Integer::sum);
                if (call.path("outcome").asText().equals("ok")) {
                    confirmed.put(marker, marker);
                }
            }
        }
        for (String marker : attempts.keySet()) {
            List<DemoRecords.Execution> runs = records.executions(marker).stream()
                    .filter(run -> run.method().equals("POST"))
                    .toList();
            verdict.check(runs.size() <= 1, "booking " + marker + " ran " + runs.size() + " times");
            if (confirmed.containsKey(marker) && runs.isEmpty()) {
                verdict.check(false, "booking " + marker + " was confirmed but never ran");
            }
        }
        int retried =
                (int) attempts.values().stream().filter(count -> count > 1).count();
        verdict.note(confirmed.size() + " confirmed, " + retried + " asked more than once");
        return verdict;
    }

    /** I12: a leaving endpoint gets no new work once the limit has passed. */
    Verdict leaving() {
        Verdict verdict = new Verdict("I12", "requests at leaving endpoints");
        for (JsonNode event : records.events("endpoint_leaving")) {
            long limit = event.path("at_ms").asLong() + event.path("lag_ms").asLong() + LEAVING_MS;
            for (DemoRecords.Execution run : records.executions()) {
                if (run.endpoint().equals(event.path("endpoint").asText())) {
                    verdict.check(
                            run.receivedMs() <= limit,
                            "endpoint " + run.endpoint() + " got work " + (run.receivedMs() - limit)
                                    + " ms after the limit");
                }
            }
        }
        return verdict;
    }

    /** I13: no request on a node that shuts down gracefully is cut. */
    Verdict shutdown() {
        Verdict verdict = new Verdict("I13", "requests at nodes that shut down");
        for (JsonNode event : records.events("node_stopping")) {
            for (JsonNode call : records.observed("call")) {
                boolean there =
                        call.path("node").asText().equals(event.path("node").asText())
                                && call.path("end_ms").asLong()
                                        >= event.path("at_ms").asLong();
                if (there) {
                    verdict.check(
                            !call.path("outcome").asText().equals("broken"),
                            "request " + call.path("marker").asText() + " was cut at node "
                                    + event.path("node").asText());
                }
            }
        }
        return verdict;
    }
}

package org.magnoliabridge.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks what the platform got: I7, I8. */
final class PlatformChecks {
    private final DemoRecords records;

    PlatformChecks(DemoRecords records) {
        this.records = records;
    }

    /** I7: no order with an older fencing token takes effect after one with a newer token. */
    Verdict orders() {
        Verdict verdict = new Verdict("I7", "endpoint orders");
        long highest = 0;
        int refused = 0;
        for (JsonNode order : records.orders()) {
            long fencing = order.path("fencing").asLong();
            if (order.path("status").asInt() == 409) {
                refused++;
                continue;
            }
            verdict.check(
                    fencing >= highest,
                    "order " + order.path("order_id").asText() + " has fencing token " + fencing + " after " + highest);
            highest = Math.max(highest, fencing);
        }
        verdict.note(refused + " stale orders refused by the platform");
        return verdict;
    }

    /** I8: each window has one set of figures, however often it is reported. */
    Verdict usage() {
        Verdict verdict = new Verdict("I8", "usage reports");
        Map<String, JsonNode> windows = new HashMap<>();
        for (JsonNode report : records.usage()) {
            String window = report.path("window").asText();
            JsonNode earlier = windows.putIfAbsent(window, report.path("figures"));
            verdict.check(
                    earlier == null || earlier.equals(report.path("figures")),
                    "window " + window + " was reported with other figures");
        }
        verdict.note(windows.size() + " windows");
        return verdict;
    }

    /** All checks of all invariants, in order. */
    static List<Verdict> all(DemoRecords records) {
        SampleChecks samples = new SampleChecks(records);
        AccessChecks access = new AccessChecks(records);
        CallChecks calls = new CallChecks(records);
        PlatformChecks platform = new PlatformChecks(records);
        return List.of(
                samples.attribution(),
                samples.staleness(),
                samples.exactlyOnce(),
                access.ownTeam(),
                access.keysStripped(),
                access.withdrawn(),
                platform.orders(),
                platform.usage(),
                samples.wholeAnswers(),
                calls.notRun(),
                calls.atMostOnce(),
                calls.leaving(),
                calls.shutdown(),
                access.bundleInForce());
    }
}

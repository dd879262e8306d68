package org.magnoliabridge.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;

/** Checks who could do what: I4, I5, I6, I14. */
final class AccessChecks {
    // The target size wants a configuration change in force everywhere within 13 s.
    private static final long IN_FORCE_MS = 13_000;

    private final DemoRecords records;

    AccessChecks(DemoRecords records) {
        this.records = records;
    }

    /** I4: a request that must be refused for its key has no answer and ran nowhere. */
    Verdict ownTeam() {
        Verdict verdict = new Verdict("I4", "requests with a wrong or missing key");
        for (JsonNode call : records.observed("call")) {
            if (call.path("expect").asText().equals("refuse")) {
                String marker = call.path("marker").asText();
                verdict.check(
                        !call.path("outcome").asText().equals("ok")
                                && records.executions(marker).isEmpty(),
                        "request " + marker + " ran, outcome "
                                + call.path("outcome").asText());
            }
        }
        return verdict;
    }

    /** I5: no back end saw a key in any header, query or body. */
    Verdict keysStripped() {
        Verdict verdict = new Verdict("I5", "back-end requests searched");
        for (DemoRecords.Execution execution : records.executions()) {
            String all = Json.text(execution.record());
            String seen = "";
            for (String id : records.keys().keySet()) {
                String text = records.keys().get(id);
                String secret = text.substring(text.lastIndexOf('_') + 1);
                if (all.contains(secret)) {
                    seen = id;
                }
            }
            verdict.check(seen.isEmpty(), "endpoint " + execution.endpoint() + " saw key " + seen);
        }
        return verdict;
    }

    /** I6: a withdrawn key does nothing once the limit has passed since the withdrawal was asked for. */
    Verdict withdrawn() {
        Verdict verdict = new Verdict("I6", "requests with a withdrawn key");
        for (JsonNode event : records.events("key_withdrawn")) {
            long limit = event.path("at_ms").asLong() + IN_FORCE_MS;
            for (JsonNode call : records.observed("call")) {
                if (call.path("key_id").equals(event.path("key_id"))
                        && call.path("expect").asText().equals("ok")
                        && call.path("start_ms").asLong() > limit) {
                    String marker = call.path("marker").asText();
                    verdict.check(
                            !call.path("outcome").asText().equals("ok")
                                    && records.executions(marker).stream().noneMatch(run -> run.receivedMs() > limit),
                            "request " + marker + " ran "
                                    + (call.path("start_ms").asLong()
                                            - event.path("at_ms").asLong())
                                    + " ms after the withdrawal");
                }
            }
        }
        return verdict;
    }

    /** I14: a rolled bundle is in force on each node that answers within the limit, and no node goes back. */
    Verdict bundleInForce() {
        Verdict verdict = new Verdict("I14", "status reports of nodes");
        Map<String, Long> versions = new HashMap<>();
        for (JsonNode status : records.observed("status")) {
            String node = status.path("node").asText();
            long version = status.path("bundle_version").asLong();
            long earlier = versions.merge(node, version, Math::max);
            verdict.check(version >= earlier, "node " + node + " went from bundle " + earlier + " to " + version);
            for (JsonNode event : records.events("bundle_rolled")) {
                boolean due =
                        status.path("at_ms").asLong() > event.path("at_ms").asLong() + IN_FORCE_MS;
                if (due && version < event.path("version").asLong()) {
                    verdict.check(
                            false,
                            "node " + node + " has bundle " + version + " long after "
                                    + event.path("version").asLong() + " was rolled");
                }
            }
        }
        return verdict;
    }
}

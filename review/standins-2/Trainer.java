import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** One step of a trainer: submits it, reads it twice a second, and ends it. */
final class Trainer {
    /** One item of a step. */
    record Item(String id, String group, int tokens, Map<String, String> headers, byte[] body) {
        Item(String id, String group, int tokens) {
            this(id, group, tokens, Map.of(), new byte[] {1, 2, 3});
        }
    }

    private final Lab lab;
    final String who;
    private final String key;
    final String batch;
    final List<Item> items;
    private final String host;
    private final String prefix;
    final Map<String, JsonNode> results = new TreeMap<>();
    long acceptedAtMs = -1;

    Trainer(Lab lab, String who, String key, String batch, String host, String prefix, List<Item> items) {
        this.lab = lab;
        this.who = who;
        this.key = key;
        this.batch = batch;
        this.host = host;
        this.prefix = prefix;
        this.items = items;
    }

    /** Returns items in groups of eight. */
    static List<Item> items(String name, int count) {
        List<Item> items = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            items.add(new Item(name + i, "g" + name + i / 8, 736));
        }
        return items;
    }

    /** Submits the step to a node; returns the status. */
    int submit(Lab.Node node, int step, int minVersion, int desired, int deadlineMs) {
        StringBuilder body = new StringBuilder("{\"Step\":" + step + ",\"Model\":\"m0\",\"MinVersion\":" + minVersion
                + ",\"Desired\":" + desired + ",\"Items\":[");
        for (Item item : items) {
            StringBuilder headers = new StringBuilder("\"X-Model\":\"m0\",\"X-Token-Usage\":\"16," + (item.tokens() - 16)
                    + "\",\"X-Prefix-Hash\":\"9c2e41:16\"");
            item.headers().forEach((n, v) -> headers.append(",\"" + n + "\":\"" + v + "\""));
            body.append(body.charAt(body.length() - 1) == '[' ? "" : ",")
                    .append("{\"Id\":\"" + item.id() + "\",\"Path\":\"" + prefix + "3/" + item.id() + "\",\"Headers\":{"
                            + headers + "},\"Body\":\"" + Base64.getEncoder().encodeToString(item.body())
                            + "\",\"Tokens\":" + item.tokens() + ",\"Group\":\"" + item.group() + "\"}");
        }
        body.append("]}");
        Map<String, String> headers = headers();
        headers.put("X-Attempt-Id", batch);
        headers.put("X-Deadline-Ms", Integer.toString(deadlineMs));
        headers.put("Content-Type", "application/json");
        int status = lab.call(node, who, "POST", prefix + batch, headers,
                body.toString().getBytes(StandardCharsets.UTF_8), deadlineMs + 1_000).status();
        if (status == 202) {
            acceptedAtMs = lab.nowMs();
        }
        return status;
    }

    /** Reads the results from the first position that is not known. */
    void read(Lab.Node node) throws IOException {
        Map<String, String> headers = headers();
        headers.put("X-Wait-Ms", "400");
        Http.Message answer =
                lab.call(node, who, "GET", "/-/lots/" + batch + "?After=" + results.size(), headers, new byte[0], 2_500);
        if (answer.status() == 200) {
            for (JsonNode result : Lab.json(answer.body()).path("Results")) {
                results.put(result.path("Id").asText(), result);
                if (!lab.isQuiet()) {
                    lab.record("%s: result %s %s"
                            .formatted(who, result.path("Id").asText(), result.path("State").asText()));
                }
            }
        }
    }

    /** Reads twice a second until all items are listed or the time is over; returns whether all are listed. */
    boolean readAll(long untilMs) throws IOException, InterruptedException {
        for (int i = 0; results.size() < items.size() && lab.nowMs() < untilMs; i++) {
            read(lab.nodes.get(i % lab.nodes.size()));
            Thread.sleep(100);
        }
        return results.size() == items.size();
    }

    int end(Lab.Node node) {
        return lab.call(node, who, "DELETE", "/-/lots/" + batch, headers(), new byte[0], 4_000).status();
    }

    /** Returns the ids of the items that have reached no sampler yet. */
    Set<String> neverRun() {
        Set<String> waiting = new LinkedHashSet<>();
        items.forEach(i -> waiting.add(i.id()));
        lab.runs().forEach(r -> waiting.remove(r.id()));
        return waiting;
    }

    private Map<String, String> headers() {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", host);
        headers.put("Authorization", "Token " + key);
        return headers;
    }
}

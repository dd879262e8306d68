package org.magnoliabridge.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.magnoliabridge.settings.SocketAddresses;

/** The least that a node does for the demo's callers when nothing goes wrong; for tests of the driver only. */
final class FakeNode implements StandIn {
    private static final Pattern KEY = Pattern.compile("mb_[a-z]+_[0-9a-f]+");

    private final JsonClient client;
    private final StandIn engine;
    private final StandIn bookings;
    private final Map<String, String> teams;
    private final Map<String, JsonNode> specs = new ConcurrentHashMap<>();
    private final Map<String, List<String>> groups = new ConcurrentHashMap<>();
    private final StandInServer server;

    FakeNode(InetSocketAddress listen, JsonClient client, StandIn engine, StandIn bookings, Map<String, String> teams) {
        this.client = client;
        this.engine = engine;
        this.bookings = bookings;
        this.teams = Map.copyOf(teams);
        server = new StandInServer(listen, this::answer);
    }

    @Override
    public InetSocketAddress address() {
        return server.address();
    }

    @Override
    public void close() {
        server.close();
    }

    private Answer answer(Call call) throws BadCallException, InterruptedException {
        try {
            if (call.path().equals("/v1/addresses")) {
                ObjectNode body = Json.object().put("ttl_ms", 1_000);
                body.putArray("addresses").addObject().put("address", SocketAddresses.format(address()));
                return Answer.json(200, body);
            }
            if (call.path().equals("/admin/status")) {
                return Answer.json(200, Json.object().put("state", "serving").put("bundle_version", 1));
            }
            String team = team(call);
            if (team == null || team.equals("yew")) {
                return refusal(team == null ? 401 : 403);
            }
            return keyed(call);
        } catch (IOException e) {
            return refusal(502);
        }
    }

    private Answer keyed(Call call) throws BadCallException, InterruptedException, IOException {
        if (call.path().equals("/v1/chat/completions")) {
            return chat(call.json());
        }
        if (call.path().startsWith("/services/benchdesk")) {
            String path = call.after("/services/benchdesk");
            JsonClient.Reply reply = client.call(
                    call.method(),
                    bookings.address(),
                    path + (call.method().equals("GET") ? "?note=" + call.query("note", "") : ""),
                    Map.of(),
                    new String(call.body(), StandardCharsets.UTF_8));
            return Answer.json(reply.status(), reply.json());
        }
        String step = call.path().replaceAll("/(groups|ack)$", "");
        if (call.path().endsWith("/steps")) {
            specs.put(call.path() + "/" + call.json().path("step"), call.json());
            return Answer.ok();
        }
        return call.path().endsWith("/groups") ? groups(step, (int) call.query("cursor", 0)) : Answer.ok();
    }

    private Answer chat(JsonNode body) throws IOException, InterruptedException {
        String prompt = body.path("messages").path(0).path("content").asText();
        ObjectNode sample = generate(prompt, body.path("max_tokens").asInt());
        String text = sample.path("text").asText();
        ObjectNode last = Json.object();
        last.set("weight_versions", sample.path("weight_versions"));
        last.putObject("usage").put("completion_tokens", sample.path("tokens").asInt());
        ObjectNode choice = last.putArray("choices").addObject();
        if (!body.path("stream").asBoolean()) {
            choice.putObject("message").put("content", text);
            return Answer.json(200, last);
        }
        ObjectNode chunk = Json.object();
        chunk.putArray("choices").addObject().putObject("delta").put("content", text);
        return new Answer.Events(sink -> {
            sink.event(Json.text(chunk));
            sink.event(Json.text(last));
            sink.event("[DONE]");
        });
    }

    // Two groups a fetch, so that the trainer needs several.
    private Answer groups(String step, int cursor) throws IOException, InterruptedException {
        JsonNode spec = specs.get(step);
        List<String> lines = groups.computeIfAbsent(step, name -> new ArrayList<>());
        int total = spec.path("groups").size();
        for (int seq = lines.size() + 1; seq <= Math.min(total, cursor + 2); seq++) {
            JsonNode group = spec.path("groups").path(seq - 1);
            ObjectNode line = Json.object().put("seq", seq).put("digest", "d" + seq);
            line.set("group", group.path("group"));
            ArrayNode samples = line.putArray("samples");
            for (int i = 0; i < spec.path("samples_per_group").asInt(); i++) {
                samples.add(generate(group.path("prompt").asText(), 10).put("index", i));
            }
            lines.add(Json.text(line));
        }
        String end = "{\"end\":true,\"cursor\":" + lines.size() + ",\"complete\":" + (lines.size() == total) + "}";
        String body =
                String.join("\n", lines.subList(Math.min(cursor, lines.size()), lines.size())) + "\n" + end + "\n";
        return new Answer.Whole(200, Map.of(), body.strip().getBytes(StandardCharsets.UTF_8));
    }

    private ObjectNode generate(String prompt, int maxTokens) throws IOException, InterruptedException {
        String body = Json.text(Json.object()
                .put("request_id", "r" + System.nanoTime())
                .put("prompt", prompt)
                .put("max_tokens", maxTokens));
        String events = client.call("POST", engine.address(), "/v1/generate", Map.of(), body)
                .text();
        StringBuilder text = new StringBuilder();
        int tokens = 0;
        for (String line :
                events.lines().filter(any -> any.contains("\"token\"")).toList()) {
            JsonNode event = new JsonClient.Reply(200, line.substring("data: ".length()), Map.of()).json();
            text.append(event.path("token").asText());
            tokens++;
        }
        ObjectNode sample = Json.object().put("text", text.toString()).put("tokens", tokens);
        sample.putArray("weight_versions")
                .addObject()
                .put("from", 0)
                .put("to", tokens)
                .put("version", 1);
        return sample;
    }

    private String team(Call call) {
        String all = call.headers() + call.query().toString() + new String(call.body(), StandardCharsets.UTF_8);
        Matcher key = KEY.matcher(all);
        return key.find() ? teams.get(key.group()) : null;
    }

    private static Answer refusal(int status) {
        ObjectNode error = Json.object();
        error.putObject("error").put("type", "refused").put("run", "not_run");
        return Answer.json(status, error);
    }
}

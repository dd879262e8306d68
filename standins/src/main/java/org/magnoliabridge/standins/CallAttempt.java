package org.magnoliabridge.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpResponse;
import java.util.Iterator;
import java.util.Map;
import java.util.stream.Stream;

/** Makes one attempt of a call and notes what came of it. */
final class CallAttempt {
    private static final String DATA = "data:";

    private final JsonClient client;
    private final InetSocketAddress node;
    private final ObjectNode seen;

    /** Creates one; {@code seen} holds what the log says of the call and gets the outcome. */
    CallAttempt(JsonClient client, InetSocketAddress node, ObjectNode seen) {
        this.client = client;
        this.node = node;
        this.seen = seen;
    }

    /** Makes a call with a whole answer. */
    ObjectNode whole(String method, String path, Map<String, String> headers, String body) throws InterruptedException {
        return timed(() -> {
            JsonClient.Reply reply = client.call(method, node, path, headers, body);
            answered(reply.status(), reply.text().isEmpty() ? Json.object() : reply.json());
        });
    }

    /** Makes a call whose answer is a stream of events; only the end mark makes it whole. */
    ObjectNode stream(String path, Map<String, String> headers, String body) throws InterruptedException {
        return timed(() -> {
            HttpResponse<Stream<String>> answer = client.lines("POST", node, path, headers, body);
            try (Stream<String> lines = answer.body()) {
                if (answer.statusCode() == 200) {
                    events(lines.iterator());
                } else {
                    String text = String.join("\n", lines.toList());
                    answered(answer.statusCode(), new JsonClient.Reply(answer.statusCode(), text, Map.of()).json());
                }
            } catch (UncheckedIOException e) {
                throw e.getCause();
            }
        });
    }

    @FunctionalInterface
    private interface Exchange {
        void run() throws IOException, InterruptedException;
    }

    private ObjectNode timed(Exchange exchange) throws InterruptedException {
        seen.put("type", "call")
                .put("node", node.getAddress().getHostAddress() + ":" + node.getPort())
                .put("start_ms", System.currentTimeMillis());
        try {
            exchange.run();
        } catch (ConnectException | HttpConnectTimeoutException e) {
            seen.put("outcome", "not_connected");
        } catch (IOException e) {
            seen.put("outcome", "broken").put("detail", e.getClass().getSimpleName() + ": " + e.getMessage());
        }
        return seen.put("end_ms", System.currentTimeMillis());
    }

    private void answered(int status, JsonNode body) {
        seen.put("status", status);
        if (status >= 200 && status < 300) {
            seen.put("outcome", "ok").set("answer", body);
            JsonNode choice = body.path("choices").path(0);
            seen.put("text", choice.path("message").path("content").asText());
            finished(body);
        } else {
            refused(body.path("error"));
        }
    }

    private void refused(JsonNode error) {
        seen.put("outcome", "refused")
                .put("error_type", error.path("type").asText())
                .put("run", error.path("run").asText());
    }

    private void finished(JsonNode body) {
        ArrayNode ranges = seen.putArray("weight_versions");
        body.path("weight_versions").forEach(ranges::add);
        seen.put(
                "completion_tokens",
                body.path("usage").path("completion_tokens").asInt());
    }

    private void events(Iterator<String> lines) throws IOException {
        StringBuilder text = new StringBuilder();
        seen.put("status", 200).put("outcome", "broken");
        while (lines.hasNext()) {
            String line = lines.next();
            if (!line.startsWith(DATA)) {
                continue;
            }
            String data = line.substring(DATA.length()).strip();
            if (data.equals("[DONE]")) {
                seen.put("outcome", "ok").put("text", text.toString());
                return;
            }
            JsonNode event = new JsonClient.Reply(200, data, Map.of()).json();
            if (event.has("error")) {
                refused(event.path("error"));
                return;
            }
            text.append(
                    event.path("choices").path(0).path("delta").path("content").asText());
            if (event.has("weight_versions")) {
                finished(event);
            }
        }
    }
}

package org.magnoliabridge.calls;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.magnoliabridge.http.HttpAnswer;
import org.magnoliabridge.http.HttpCall;
import org.magnoliabridge.http.HttpCaller;
import org.magnoliabridge.http.HttpFailure;
import org.magnoliabridge.http.HttpLimits;
import org.magnoliabridge.ids.RequestId;
import org.magnoliabridge.ids.WeightVersion;

/** Client for the HTTP engine protocol: generation as server-sent events, cancellation and load report as JSON. */
public final class HttpEngineAdapter implements EngineAdapter {
    private static final Logger LOG = Logger.getLogger(HttpEngineAdapter.class.getName());
    private static final JsonMapper JSON = new JsonMapper();
    private static final int OK = 200;
    private static final String EVENT_PREFIX = "data:";

    private final HttpCaller http;
    private final HttpLimits probeLimits;

    /**
     * Creates an adapter.
     *
     * @param probeLimits time limits of cancel and load report requests
     */
    public HttpEngineAdapter(HttpCaller http, HttpLimits probeLimits) {
        this.http = http;
        this.probeLimits = probeLimits;
    }

    @Override
    public void generate(GenerateCall call, EventReceiver events) throws EngineFailure {
        ObjectNode body = JSON.createObjectNode();
        body.put("request_id", call.requestId().value());
        body.put("prompt", call.prompt());
        body.put("max_tokens", call.maxTokens());
        HttpCall request = HttpCall.json("POST", call.engine(), "/v1/generate", bytes(body))
                .withLimits(call.limits())
                .withHeader("Accept", "text/event-stream")
                .withHeader("traceparent", call.trace().traceparent());
        HttpAnswer answer;
        try {
            answer = http.stream(
                    request, line -> parse(line).map(events::onEvent).orElse(true));
        } catch (HttpFailure e) {
            throw failure(e);
        }
        if (answer.status() != OK) {
            throw new EngineFailure.Refused(BackEndRefusal.of(answer));
        }
    }

    @Override
    public void cancel(InetSocketAddress engine, RequestId request) {
        ObjectNode body = JSON.createObjectNode();
        body.put("request_id", request.value());
        HttpCall call = HttpCall.json("POST", engine, "/v1/cancel", bytes(body)).withLimits(probeLimits);
        try {
            http.call(call);
        } catch (HttpFailure e) {
            LOG.log(Level.FINE, "could not cancel request " + request + " at engine " + engine, e);
        }
    }

    @Override
    public LoadReport fetchLoad(InetSocketAddress engine) throws EngineFailure {
        HttpAnswer answer;
        try {
            answer = http.call(
                    HttpCall.get(engine, "/v1/load").withLimits(probeLimits).onFreshConnection());
        } catch (HttpFailure e) {
            throw failure(e);
        }
        if (answer.status() != OK) {
            throw new EngineFailure.Refused(BackEndRefusal.of(answer));
        }
        return parseLoadReport(answer.body());
    }

    /** Parses a line of the stream; empty for lines without an event. */
    static Optional<EngineEvent> parse(String line) {
        if (!line.startsWith(EVENT_PREFIX)) {
            // Blank lines separate events; comments and other fields are ignored.
            return Optional.empty();
        }
        String data = line.substring(EVENT_PREFIX.length()).strip();
        return Optional.of(data.equals("[DONE]") ? new EngineEvent.EndMark() : event(data));
    }

    private static EngineEvent event(String data) {
        JsonNode node;
        try {
            node = JSON.readTree(data);
        } catch (IOException e) {
            return new EngineEvent.Malformed("an event is not JSON");
        }
        String id = node.path("request_id").asText();
        if (node.path("finish").isTextual()) {
            Optional<FinishReason> reason = FinishReason.of(node.path("finish").asText());
            return reason.isPresent() && isCount(node.path("tokens"))
                    ? new EngineEvent.Finish(
                            id, reason.get(), node.path("tokens").intValue())
                    : new EngineEvent.Malformed("a finish event has wrong fields");
        }
        JsonNode version = node.path("weight_version");
        if (!isCount(node.path("index")) || !node.path("token").isTextual() || !isVersion(version)) {
            return new EngineEvent.Malformed("a token event has wrong fields");
        }
        return new EngineEvent.Token(
                id, node.path("index").intValue(), node.path("token").asText(), new WeightVersion(version.longValue()));
    }

    private static boolean isCount(JsonNode node) {
        return node.isInt() && node.intValue() >= 0;
    }

    private static boolean isVersion(JsonNode node) {
        return node.isIntegralNumber() && node.canConvertToLong() && node.longValue() >= 0;
    }

    private static LoadReport parseLoadReport(byte[] body) throws EngineFailure {
        try {
            JsonNode node = JSON.readTree(body);
            Set<String> prefixes = new HashSet<>();
            node.path("cached_prefixes").forEach(hash -> prefixes.add(hash.asText()));
            return new LoadReport(
                    Math.max(0, node.path("running").asInt()),
                    Math.max(0, node.path("waiting").asInt()),
                    new WeightVersion(Math.max(0, node.path("weight_version").asLong())),
                    prefixes);
        } catch (IOException e) {
            throw new EngineFailure.Lost(e);
        }
    }

    private static EngineFailure failure(HttpFailure failure) {
        return switch (failure) {
            case HttpFailure.NotSent e -> new EngineFailure.NotSent(e);
            case HttpFailure.Lost e -> new EngineFailure.Lost(e);
            case HttpFailure.TooLarge e -> new EngineFailure.Lost(e);
        };
    }

    private static byte[] bytes(ObjectNode node) {
        return node.toString().getBytes(StandardCharsets.UTF_8);
    }
}

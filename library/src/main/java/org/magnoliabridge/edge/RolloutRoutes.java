package org.magnoliabridge.edge;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.magnoliabridge.bundle.Service;
import org.magnoliabridge.calls.CallException;
import org.magnoliabridge.calls.ExecutionStatus;
import org.magnoliabridge.calls.Failure;
import org.magnoliabridge.edge.RequestAuthorizer.Principal;
import org.magnoliabridge.ids.InvalidIdException;
import org.magnoliabridge.ids.RunId;
import org.magnoliabridge.ids.WeightVersion;

/** Serves trainers: open a step, fetch decided groups, acknowledge them. */
final class RolloutRoutes {
    static final String PREFIX = "/v1/rollouts/";
    private static final JsonMapper JSON = new JsonMapper();
    private static final long DEFAULT_DEADLINE_MS = 30_000;
    private static final long MAX_WAIT_MS = 60_000;
    private static final Set<String> ACK_FIELDS = Set.of("cursor", "trainer_version");
    private static final Set<String> FETCH_PARAMETERS = Set.of("cursor", "trainer_version", "wait_ms");

    private final EdgeDependencies dependencies;

    RolloutRoutes(EdgeDependencies dependencies) {
        this.dependencies = dependencies;
    }

    void handle(EdgeRequest request, Reply reply) throws CallException, IOException {
        long nowMs = dependencies.clock().nowMs();
        RequestAuthorizer authorizer =
                new RequestAuthorizer(dependencies.config().get(), nowMs);
        Principal principal = authorizer.authenticate(request.key());
        long deadlineMs = request.deadlineMs().orElse(nowMs + DEFAULT_DEADLINE_MS);
        List<String> parts = SafePath.segments(request.path().substring(PREFIX.length() - 1));
        if (parts.size() == 2 && isCall(request, "POST", parts.get(1), "steps")) {
            openStep(request, reply, authorizer, principal, run(parts.get(0)), deadlineMs);
        } else if (parts.size() == 4 && isCall(request, "GET", parts.get(3), "groups")) {
            fetchGroups(request, reply, principal, parts, deadlineMs);
        } else if (parts.size() == 4 && isCall(request, "POST", parts.get(3), "ack")) {
            acknowledge(request, reply, principal, parts, deadlineMs);
        } else {
            throw CallException.notRun(new Failure.NotFound("the route"));
        }
    }

    private static boolean isCall(EdgeRequest request, String method, String last, String expected) {
        return request.method().equals(method) && last.equals(expected);
    }

    private void openStep(
            EdgeRequest request,
            Reply reply,
            RequestAuthorizer authorizer,
            Principal principal,
            RunId run,
            long deadlineMs)
            throws CallException, IOException {
        CallerHandler.requireJson(request);
        JsonNode body = ChatBody.parseObject(request.body());
        authorizer.authorizeService(principal, body.path("service").asText(), Service.Kind.MODEL);
        long step = dependencies.rollouts().openStep(principal.team(), run, request.body(), deadlineMs);
        reply.sendJson(bytes(JSON.createObjectNode().put("step", step)));
    }

    private void fetchGroups(EdgeRequest request, Reply reply, Principal principal, List<String> parts, long deadlineMs)
            throws CallException, IOException {
        Map<String, String> query = query(request.content().query());
        long waitMs = Math.min(MAX_WAIT_MS, number(query.getOrDefault("wait_ms", "0"), "wait_ms"));
        RolloutService.Groups groups = dependencies
                .rollouts()
                .fetchGroups(new RolloutService.Fetch(
                        principal.team(),
                        run(parts.get(0)),
                        step(parts),
                        number(query.getOrDefault("cursor", "0"), "cursor"),
                        new WeightVersion(number(query.get("trainer_version"), "trainer_version")),
                        waitMs,
                        Math.max(deadlineMs, dependencies.clock().nowMs() + waitMs)));
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (byte[] line : groups.lines()) {
            body.writeBytes(line);
            body.write('\n');
        }
        ObjectNode end = JSON.createObjectNode()
                .put("end", true)
                .put("cursor", groups.cursor())
                .put("complete", groups.complete());
        body.writeBytes(bytes(end));
        body.write('\n');
        reply.send(200, Map.of("content-type", "application/x-ndjson"), body.toByteArray());
    }

    private void acknowledge(EdgeRequest request, Reply reply, Principal principal, List<String> parts, long deadlineMs)
            throws CallException, IOException {
        CallerHandler.requireJson(request);
        JsonNode body = ChatBody.parseObject(request.body());
        ChatBody.checkFields(body, ACK_FIELDS);
        long cursor = number(body.path("cursor").asText(), "cursor");
        WeightVersion trainer =
                new WeightVersion(number(body.path("trainer_version").asText(), "trainer_version"));
        dependencies
                .rollouts()
                .acknowledge(new RolloutService.Acknowledgement(
                        principal.team(), run(parts.get(0)), step(parts), cursor, trainer, deadlineMs));
        reply.sendJson(bytes(JSON.createObjectNode().put("cursor", cursor)));
    }

    private static long step(List<String> parts) throws CallException {
        if (!parts.get(1).equals("steps")) {
            throw CallException.notRun(new Failure.NotFound("the route"));
        }
        return number(parts.get(2), "step");
    }

    private static RunId run(String text) throws CallException {
        try {
            return RunId.parse(text);
        } catch (InvalidIdException e) {
            throw new CallException(new Failure.MalformedRequest(e.getMessage()), ExecutionStatus.NOT_RUN, e);
        }
    }

    private static long number(String text, String name) throws CallException {
        // 18 digits always fit a long.
        if (text == null || !text.matches("\\d{1,18}")) {
            throw ChatBody.malformed("field " + name + " must be a whole number, zero or more");
        }
        return Long.parseLong(text);
    }

    private static Map<String, String> query(String raw) throws CallException {
        Map<String, String> all = new HashMap<>();
        for (String parameter : raw.isEmpty() ? new String[0] : raw.split("&", -1)) {
            int equals = parameter.indexOf('=');
            String name = equals < 0 ? parameter : parameter.substring(0, equals);
            if (!FETCH_PARAMETERS.contains(name) || all.put(name, parameter.substring(equals + 1)) != null) {
                throw ChatBody.malformed("the query has an unknown or repeated parameter");
            }
        }
        return all;
    }

    private static byte[] bytes(ObjectNode node) {
        return node.toString().getBytes(StandardCharsets.UTF_8);
    }
}

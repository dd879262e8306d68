package org.magnoliabridge.edge;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.magnoliabridge.bundle.Service;
import org.magnoliabridge.calls.CallException;
import org.magnoliabridge.calls.Cancellation;
import org.magnoliabridge.calls.EndpointSource;
import org.magnoliabridge.calls.Generation;
import org.magnoliabridge.calls.GenerationRequest;
import org.magnoliabridge.calls.VersionRange;
import org.magnoliabridge.edge.RequestAuthorizer.Principal;
import org.magnoliabridge.ids.KeyId;

/** Serves chat completions as a single response or as server-sent events. */
final class ChatRoute {
    private static final JsonMapper JSON = new JsonMapper();
    private static final long DEFAULT_DEADLINE_MS = 60_000;

    private final EdgeDependencies dependencies;
    private final ActiveCalls activeCalls;

    ChatRoute(EdgeDependencies dependencies, ActiveCalls activeCalls) {
        this.dependencies = dependencies;
        this.activeCalls = activeCalls;
    }

    void handle(EdgeRequest request, Reply reply, Cancellation cancellation) throws CallException, IOException {
        long nowMs = dependencies.clock().nowMs();
        RequestAuthorizer authorizer =
                new RequestAuthorizer(dependencies.config().get(), nowMs);
        Principal principal = authorizer.authenticate(request.key());
        CallerHandler.requireJson(request);
        ChatBody body = ChatBody.parse(request.body());
        Service service = authorizer.authorizeService(principal, body.model(), Service.Kind.MODEL);
        GenerationRequest generation = new GenerationRequest(
                service.id(),
                principal.team(),
                service.priority() == Service.Priority.INTERACTIVE
                        ? EndpointSource.Priority.INTERACTIVE
                        : EndpointSource.Priority.TRAINING,
                body.prompt(),
                body.maxTokens(),
                request.deadlineMs().orElse(nowMs + DEFAULT_DEADLINE_MS),
                Optional.of(request.trace()));
        activeCalls.add(cancellation, principal.key());
        try {
            Generation answer = body.stream()
                    ? sendStream(request, body, generation, reply, cancellation, principal.key())
                    : sendWhole(request, body, generation, reply, cancellation);
            dependencies
                    .usage()
                    .delivered(new UsageSink.Delivery(
                            principal.team(), service.id(), 1, answer.promptTokens(), answer.tokens()));
        } finally {
            activeCalls.remove(cancellation);
        }
    }

    private Generation sendWhole(
            EdgeRequest request, ChatBody body, GenerationRequest generation, Reply reply, Cancellation cancellation)
            throws CallException, IOException {
        Generation answer = dependencies.generations().generate(generation, cancellation);
        ObjectNode root = newResponse(request, body);
        ObjectNode choice = root.putArray("choices").addObject().put("index", 0);
        choice.putObject("message").put("role", "assistant").put("content", answer.text());
        choice.put("finish_reason", answer.reason().text());
        addUsageAndVersions(root, answer);
        reply.sendJson(root.toString().getBytes(StandardCharsets.UTF_8));
        return answer;
    }

    private Generation sendStream(
            EdgeRequest request,
            ChatBody body,
            GenerationRequest generation,
            Reply reply,
            Cancellation cancellation,
            Optional<KeyId> key)
            throws CallException, IOException {
        try {
            Generation answer = dependencies.generations().stream(generation, cancellation, (index, text, version) -> {
                if (!isActive(key)) {
                    cancellation.cancel(Cancellation.Reason.KEY_WITHDRAWN);
                    return false;
                }
                ObjectNode root = newResponse(request, body);
                root.putArray("choices")
                        .addObject()
                        .put("index", 0)
                        .putObject("delta")
                        .put("content", text);
                return sendEvent(reply, root);
            });
            ObjectNode last = newResponse(request, body);
            ObjectNode choice = last.putArray("choices").addObject().put("index", 0);
            choice.putObject("delta");
            choice.put("finish_reason", answer.reason().text());
            addUsageAndVersions(last, answer);
            reply.sendEvent(last.toString());
            reply.sendEvent("[DONE]");
            reply.endStream();
            return answer;
        } catch (UncheckedIOException e) {
            throw e.getCause();
        }
    }

    // Checked for each token, so that a withdrawal ends the stream even if activeCalls was not notified.
    private boolean isActive(Optional<KeyId> key) {
        return key.map(id -> dependencies.config().get().keys().isActive(id)).orElse(true);
    }

    private static boolean sendEvent(Reply reply, ObjectNode event) {
        try {
            reply.sendEvent(event.toString());
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private static ObjectNode newResponse(EdgeRequest request, ChatBody body) {
        return JSON.createObjectNode().put("id", request.id().value()).put("model", body.model());
    }

    private static void addUsageAndVersions(ObjectNode root, Generation answer) {
        root.putObject("usage").put("prompt_tokens", answer.promptTokens()).put("completion_tokens", answer.tokens());
        ArrayNode versions = root.putArray("weight_versions");
        for (VersionRange range : answer.versions()) {
            versions.addObject()
                    .put("from", range.from())
                    .put("to", range.to())
                    .put("version", range.version().value());
        }
    }
}

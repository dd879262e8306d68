package org.magnoliabridge.edge;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.Iterator;
import java.util.Set;
import org.magnoliabridge.calls.CallException;
import org.magnoliabridge.calls.ExecutionStatus;
import org.magnoliabridge.calls.Failure;

/**
 * The body of a chat completion.
 *
 * @param prompt the messages joined into one text, each with its role
 */
record ChatBody(String model, String prompt, int maxTokens, boolean stream) {
    private static final JsonMapper JSON = JsonMapper.builder()
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();
    private static final Set<String> FIELDS = Set.of("model", "messages", "max_tokens", "stream");
    private static final Set<String> MESSAGE_FIELDS = Set.of("role", "content");
    private static final Set<String> ROLES = Set.of("system", "user", "assistant");
    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final int MAX_TOKENS_LIMIT = 100_000;

    static JsonNode parseObject(byte[] body) throws CallException {
        JsonNode root;
        try {
            root = JSON.readTree(body);
        } catch (IOException e) {
            throw new CallException(
                    new Failure.MalformedRequest("the body is not valid JSON"), ExecutionStatus.NOT_RUN, e);
        }
        if (root == null || !root.isObject()) {
            throw malformed("the body must be a JSON object");
        }
        return root;
    }

    static ChatBody parse(byte[] body) throws CallException {
        JsonNode root = parseObject(body);
        checkFields(root, FIELDS);
        if (!root.path("model").isTextual()) {
            throw malformed("field model must be a text");
        }
        JsonNode max = root.path("max_tokens");
        if (!max.isMissingNode() && (!max.isInt() || max.intValue() < 1 || max.intValue() > MAX_TOKENS_LIMIT)) {
            throw malformed("field max_tokens must be a whole number from 1 to " + MAX_TOKENS_LIMIT);
        }
        JsonNode streamed = root.path("stream");
        if (!streamed.isMissingNode() && !streamed.isBoolean()) {
            throw malformed("field stream must be true or false");
        }
        return new ChatBody(
                root.path("model").asText(),
                prompt(root.path("messages")),
                max.asInt(DEFAULT_MAX_TOKENS),
                streamed.asBoolean(false));
    }

    static void checkFields(JsonNode node, Set<String> known) throws CallException {
        Iterator<String> names = node.fieldNames();
        while (names.hasNext()) {
            if (!known.contains(names.next())) {
                // The message omits the field name: it is caller input and might contain a key.
                throw malformed("the body has an unknown field; known fields are "
                        + String.join(", ", known.stream().sorted().toList()));
            }
        }
    }

    static CallException malformed(String detail) {
        return CallException.notRun(new Failure.MalformedRequest(detail));
    }

    private static String prompt(JsonNode messages) throws CallException {
        if (!messages.isArray() || messages.isEmpty()) {
            throw malformed("field messages must be an array with at least one message");
        }
        StringBuilder prompt = new StringBuilder();
        for (JsonNode message : messages) {
            if (!message.isObject() || !message.path("content").isTextual()) {
                throw malformed("each message must have a role and a content text");
            }
            checkFields(message, MESSAGE_FIELDS);
            String role = message.path("role").asText();
            if (!ROLES.contains(role)) {
                throw malformed("field role must be system, user or assistant");
            }
            prompt.append(role)
                    .append(": ")
                    .append(message.path("content").asText())
                    .append('\n');
        }
        return prompt.append("assistant:").toString();
    }

    @Override
    public String toString() {
        return "ChatBody[" + model + ", " + maxTokens + " tokens]";
    }
}

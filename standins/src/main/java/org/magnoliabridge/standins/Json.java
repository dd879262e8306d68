package org.magnoliabridge.standins;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Collection;

/** JSON trees; the stand-ins share no codec with the library, so that a fault there can't hide itself. */
final class Json {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    static ArrayNode array() {
        return MAPPER.createArrayNode();
    }

    static ArrayNode array(Collection<? extends JsonNode> nodes) {
        ArrayNode all = MAPPER.createArrayNode();
        nodes.forEach(all::add);
        return all;
    }

    static byte[] bytes(JsonNode node) {
        return text(node).getBytes(StandardCharsets.UTF_8);
    }

    static String text(JsonNode node) {
        try {
            return MAPPER.writeValueAsString(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a JSON tree can always be written", e);
        }
    }

    static JsonNode parse(byte[] bytes) throws BadCallException {
        try {
            JsonNode node = MAPPER.readTree(bytes);
            if (node == null || node.isMissingNode()) {
                throw new BadCallException("a JSON body is needed");
            }
            return node;
        } catch (IOException e) {
            throw new BadCallException("the body is not JSON: " + e.getMessage());
        }
    }

    static String text(JsonNode node, String field) throws BadCallException {
        JsonNode value = node.get(field);
        if (value == null || !value.isTextual()) {
            throw new BadCallException("field " + field + " must be a text");
        }
        return value.textValue();
    }

    static long number(JsonNode node, String field) throws BadCallException {
        JsonNode value = node.get(field);
        if (value == null || !value.isIntegralNumber()) {
            throw new BadCallException("field " + field + " must be a whole number");
        }
        return value.longValue();
    }
}

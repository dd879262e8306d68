package org.magnoliabridge.lease;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Optional;
import org.magnoliabridge.ids.FencingToken;

/**
 * The content of a lease object.
 *
 * @param holder node id of the holder, empty after the lease was released
 * @param writer id of the write that created this version, unique over all writers; lets a writer recognize its own
 *     write after the reply was lost
 * @param sending whether the holder was past its wait for the calls of earlier holders when it wrote this
 */
record LeaseRecord(
        String holder, long incarnation, FencingToken fencing, long durationMs, String writer, boolean sending) {
    private static final ObjectMapper JSON = new ObjectMapper();

    boolean released() {
        return holder.isEmpty();
    }

    byte[] encode() {
        ObjectNode node = JSON.createObjectNode();
        node.put("holder", holder);
        node.put("incarnation", incarnation);
        node.put("fencing", fencing.value());
        node.put("duration_ms", durationMs);
        node.put("writer", writer);
        node.put("sending", sending);
        try {
            return JSON.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a lease record is always valid JSON", e);
        }
    }

    /** Parses a lease object; returns empty if the value is not a valid lease record. */
    static Optional<LeaseRecord> decode(byte[] value) {
        try {
            JsonNode node = JSON.readTree(value);
            long fencing = node.path("fencing").asLong(-1);
            long durationMs = node.path("duration_ms").asLong(-1);
            if (fencing < 0 || durationMs < 0 || !node.path("holder").isTextual()) {
                return Optional.empty();
            }
            return Optional.of(new LeaseRecord(
                    node.path("holder").textValue(),
                    node.path("incarnation").asLong(),
                    new FencingToken(fencing),
                    durationMs,
                    node.path("writer").asText(),
                    node.path("sending").asBoolean()));
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}

package org.magnoliabridge.orders;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.magnoliabridge.external.EndpointOrder;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.FencingToken;
import org.magnoliabridge.ids.ServiceId;

/**
 * The content of the intents object: orders that the lease holder may have sent and whose outcome is not yet settled.
 *
 * @param fencing token of the lease holder that wrote the object
 * @param writer id of the write, unique over all writers; identifies the write if its answer was lost
 */
record OrderIntents(FencingToken fencing, String writer, List<Intent> intents) {
    static final OrderIntents EMPTY = new OrderIntents(new FencingToken(0), "", List.of());
    private static final ObjectMapper JSON = new ObjectMapper();

    OrderIntents {
        intents = List.copyOf(intents);
    }

    /** An order that was recorded before it was sent. */
    record Intent(String orderId, EndpointOrder order) {}

    byte[] encode() {
        ObjectNode node = JSON.createObjectNode();
        node.put("fencing", fencing.value());
        node.put("writer", writer);
        ArrayNode array = node.putArray("intents");
        for (Intent intent : intents) {
            ObjectNode item = array.addObject();
            item.put("order_id", intent.orderId());
            item.put("endpoint", intent.order().endpoint().value());
            item.put("dc", intent.order().dc().value());
            item.put("service", intent.order().service().value());
            item.put("kind", intent.order().kind().wireName());
            item.put("running", intent.order().running());
        }
        try {
            return JSON.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("order intents cannot be encoded as JSON", e);
        }
    }

    /** Parses an intents object; returns empty if the content is malformed. */
    static Optional<OrderIntents> decode(byte[] value) {
        try {
            JsonNode node = JSON.readTree(value);
            List<Intent> intents = new ArrayList<>();
            for (JsonNode item : node.path("intents")) {
                EndpointOrder order = new EndpointOrder(
                        new EndpointId(item.path("endpoint").asText()),
                        new DataCentre(item.path("dc").asText()),
                        new ServiceId(item.path("service").asText()),
                        EndpointOrder.Kind.of(item.path("kind").asText()),
                        item.path("running").asBoolean());
                intents.add(new Intent(item.path("order_id").asText(), order));
            }
            FencingToken fencing = new FencingToken(node.path("fencing").asLong(-1));
            return Optional.of(new OrderIntents(fencing, node.path("writer").asText(), intents));
        } catch (IOException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}

package org.magnoliabridge.usage;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.ids.WindowId;

/**
 * The sealed record of a usage window, which is also the report that the platform gets.
 *
 * @param counts the counters of the window itself
 * @param carried counts that arrived too late for their own, earlier windows, by the counter they belong to
 */
record SealedWindow(WindowId window, SortedMap<CounterId, Count> counts, SortedMap<CounterId, Count> carried) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Returns the counts to bill per team: those of the window itself and those carried into it. */
    SortedMap<TeamId, Count> billedCounts() {
        SortedMap<TeamId, Count> figures = new TreeMap<>();
        counts.forEach((id, count) -> figures.merge(id.team(), count, Count::plus));
        carried.forEach((id, count) -> figures.merge(id.team(), count, Count::plus));
        return figures;
    }

    /** Returns each team's number of requests in the window itself, without carried counts. */
    Map<TeamId, Long> requestsByTeam() {
        Map<TeamId, Long> requests = new TreeMap<>();
        counts.forEach((id, count) -> requests.merge(id.team(), count.requests(), Long::sum));
        return requests;
    }

    byte[] encode() {
        ObjectNode node = MAPPER.createObjectNode().put("window", window.value());
        ArrayNode figures = node.putArray("figures");
        billedCounts().forEach((team, count) -> put(figures.addObject().put("team", team.value()), count));
        put(node.putArray("counts"), counts);
        put(node.putArray("carried"), carried);
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize a JSON tree", e);
        }
    }

    private static void put(ArrayNode array, Map<CounterId, Count> counts) {
        counts.forEach((id, count) -> {
            ObjectNode node = array.addObject().put("window", id.window().value());
            node.put("node", id.node().value())
                    .put("incarnation", id.incarnation().value());
            put(node.put("team", id.team().value()), count);
        });
    }

    private static void put(ObjectNode node, Count count) {
        node.put("requests", count.requests()).put("prompt_tokens", count.promptTokens());
        node.put("completion_tokens", count.completionTokens());
    }

    static SealedWindow decode(byte[] json) throws MalformedUsageException {
        try {
            JsonNode node = MAPPER.readTree(json);
            WindowId window = new WindowId(node.required("window").asLong());
            return new SealedWindow(window, counts(node.required("counts")), counts(node.required("carried")));
        } catch (IOException | IllegalArgumentException e) {
            throw new MalformedUsageException("cannot decode a sealed window", e);
        }
    }

    private static SortedMap<CounterId, Count> counts(JsonNode array) {
        SortedMap<CounterId, Count> counts = new TreeMap<>();
        for (JsonNode node : array) {
            CounterId id = new CounterId(
                    new WindowId(node.required("window").asLong()),
                    new NodeId(node.required("node").asText()),
                    new Incarnation(node.required("incarnation").asLong()),
                    new TeamId(node.required("team").asText()));
            Count count = new Count(
                    node.required("requests").asLong(),
                    node.required("prompt_tokens").asLong(),
                    node.required("completion_tokens").asLong());
            counts.put(id, count);
        }
        return counts;
    }
}

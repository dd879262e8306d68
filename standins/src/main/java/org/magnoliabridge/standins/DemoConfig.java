package org.magnoliabridge.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.magnoliabridge.settings.SocketAddresses;

/**
 * What the demo's driver needs to know.
 *
 * @param callers caller addresses of all nodes
 * @param operators operator addresses of all nodes
 * @param weights the weight store, where the trainer publishes
 * @param model service of the engines
 * @param plain service that books
 */
record DemoConfig(
        List<InetSocketAddress> callers,
        List<InetSocketAddress> operators,
        InetSocketAddress weights,
        String model,
        String plain,
        List<Member> teams,
        int steps) {
    /**
     * A team that calls.
     *
     * @param dc where its callers run
     * @param role {@code caller}, {@code trainer} or {@code stranger} (a team that may use neither service)
     */
    record Member(String team, String keyId, String key, String dc, String role) {}

    static DemoConfig parse(byte[] json) throws BadCallException {
        JsonNode root = Json.parse(json);
        List<Member> teams = new ArrayList<>();
        for (JsonNode team : root.path("teams")) {
            teams.add(new Member(
                    Json.text(team, "team"),
                    Json.text(team, "key_id"),
                    Json.text(team, "key"),
                    Json.text(team, "dc"),
                    Json.text(team, "role")));
        }
        return new DemoConfig(
                addresses(root, "callers"),
                addresses(root, "operators"),
                address(Json.text(root, "weights")),
                Json.text(root, "model"),
                Json.text(root, "plain"),
                teams,
                (int) Json.number(root, "steps"));
    }

    private static List<InetSocketAddress> addresses(JsonNode root, String field) throws BadCallException {
        List<InetSocketAddress> all = new ArrayList<>();
        for (JsonNode text : root.path(field)) {
            all.add(address(text.asText()));
        }
        return List.copyOf(all);
    }

    private static InetSocketAddress address(String text) throws BadCallException {
        return SocketAddresses.parse(text).orElseThrow(() -> new BadCallException("not an address: " + text));
    }
}

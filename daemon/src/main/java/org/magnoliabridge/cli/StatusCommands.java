package org.magnoliabridge.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.PlatformException;
import org.magnoliabridge.external.StoredObject;

/** The commands that only read: status, endpoints, usage. */
final class StatusCommands {
    private static final String USAGE = "usage/";

    private final NodeClient nodes;
    private final ObjectStore store;

    StatusCommands(NodeClient nodes, ObjectStore store) {
        this.nodes = nodes;
        this.store = store;
    }

    /** Reports what every configured node says of itself; fails if none answers. */
    Result status() throws CommandException {
        ObjectNode json = Output.object();
        ArrayNode all = json.putArray("nodes");
        List<String> lines = new ArrayList<>();
        boolean answered = false;
        for (NodeClient.Reply reply : nodes.askAll()) {
            ObjectNode entry = all.addObject().put("operator_address", reply.address());
            entry.put("reachable", reply.body().isPresent());
            reply.body().ifPresent(body -> entry.set("status", body));
            answered |= reply.body().isPresent();
            lines.add(reply.address() + " "
                    + reply.body().map(StatusCommands::statusLine).orElse("unreachable"));
        }
        return new Result(answered ? ExitCode.OK : ExitCode.UNAVAILABLE, json, lines);
    }

    /** Reports the endpoints as one node sees them. */
    Result endpoints() throws CommandException {
        JsonNode body = nodes.askAny("/admin/endpoints");
        ObjectNode json = Output.object();
        json.set("endpoints", body);
        List<String> lines = new ArrayList<>();
        body.forEach(endpoint -> lines.add(String.join(
                " ",
                endpoint.path("id").asText("?"),
                endpoint.path("service").asText("?"),
                endpoint.path("dc").asText("?"),
                endpoint.path("address").asText("?"),
                endpoint.path("state").asText("?"))));
        return new Result(ExitCode.OK, json, lines);
    }

    /** Reports the sealed usage windows, or one of them. */
    Result usage(Optional<String> window) throws CommandException, PlatformException {
        List<ObjectKey> keys = new ArrayList<>();
        if (window.isPresent()) {
            keys.add(key(window.get()));
        } else {
            store.list(USAGE).entries().forEach(entry -> keys.add(entry.key()));
        }
        ObjectNode json = Output.object();
        ObjectNode windows = json.putObject("windows");
        List<String> lines = new ArrayList<>();
        for (ObjectKey key : keys) {
            Optional<StoredObject> sealed = store.read(key);
            if (sealed.isEmpty()) {
                throw CommandException.invalid("--window", "there is no sealed window " + key);
            }
            String name = key.value().substring(USAGE.length());
            JsonNode figures = figures(key, sealed.get());
            windows.set(name, figures);
            lines.add(name + " " + figures);
        }
        return new Result(ExitCode.OK, json, lines);
    }

    private static ObjectKey key(String window) throws CommandException {
        try {
            return new ObjectKey(USAGE + window);
        } catch (IllegalArgumentException e) {
            throw CommandException.invalid("--window", "not a window name: " + window);
        }
    }

    private static JsonNode figures(ObjectKey key, StoredObject sealed) throws PlatformException {
        try {
            return Output.parse(sealed.value());
        } catch (IOException e) {
            throw new PlatformException.Malformed("object " + key + " is not JSON", e);
        }
    }

    private static String statusLine(JsonNode body) {
        return body.path("node_id").asText("?") + " " + body.path("data_centre").asText("?") + " "
                + body.path("state").asText("?") + ", bundle "
                + body.path("bundle_version").asText("?") + ", withdrawals "
                + body.path("withdrawals_version").asText("?") + ", "
                + body.path("members").size() + " members";
    }
}

package org.magnoliabridge.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.magnoliabridge.settings.SocketAddresses;

/** Tells callers of one data centre which node to use: asks the system, and keeps the answer for its lifetime. */
final class NodeDirectory {
    private final JsonClient client;
    private final String dc;
    private final List<InetSocketAddress> known;
    private final RandomGenerator random;
    private List<InetSocketAddress> current = List.of();
    private long validUntilNanos = System.nanoTime();

    NodeDirectory(JsonClient client, String dc, List<InetSocketAddress> known, RandomGenerator random) {
        this.client = client;
        this.dc = dc;
        this.known = List.copyOf(known);
        this.random = random;
    }

    /** Returns the address to use for the attempt, counted from 0; later attempts use other addresses. */
    synchronized InetSocketAddress pick(int attempt) throws InterruptedException {
        if (current.isEmpty() || System.nanoTime() - validUntilNanos >= 0) {
            refresh();
        }
        return current.isEmpty() ? known.get(random.nextInt(known.size())) : current.get(attempt % current.size());
    }

    private void refresh() throws InterruptedException {
        current = List.of();
        int first = random.nextInt(known.size());
        for (int i = 0; i < known.size() && current.isEmpty(); i++) {
            JsonNode answer = ask(known.get((first + i) % known.size()));
            List<InetSocketAddress> next = new ArrayList<>();
            for (JsonNode entry : answer.path("addresses")) {
                SocketAddresses.parse(entry.path("address").asText()).ifPresent(next::add);
            }
            current = next;
            validUntilNanos = System.nanoTime() + answer.path("ttl_ms").asLong(1_000) * 1_000_000;
        }
    }

    // A node that is down can't tell; its answer is as good as an empty one.
    private JsonNode ask(InetSocketAddress node) throws InterruptedException {
        try {
            return client.get(node, "/v1/addresses?dc=" + dc).json();
        } catch (IOException e) {
            return Json.object();
        }
    }
}

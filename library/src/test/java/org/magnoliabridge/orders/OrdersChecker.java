package org.magnoliabridge.orders;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.magnoliabridge.external.EndpointOrder;
import org.magnoliabridge.external.StoredObject;

/** Checks a simulation only by the history of the store, the orders that took effect, and the clock. */
final class OrdersChecker {
    private static final ObjectMapper JSON = new ObjectMapper();
    // A late order is allowed only if its sender was delayed for longer than margin plus takeover wait.
    private static final long ALLOWED_GAP_MS = 5_000;

    final List<String> violations = new ArrayList<>();
    long checks;
    long allowedGaps;
    private final OrdersSimulation simulation;
    private final Map<Long, String> senderByToken = new HashMap<>();
    private final Set<String> intents = new HashSet<>();
    private int unsettledIntents;
    private int historyPosition;
    private long highestToken;
    private long leaseToken;
    private String leaseHolder = "";

    OrdersChecker(OrdersSimulation simulation) {
        this.simulation = simulation;
    }

    void afterStep() {
        readHistory();
        checks++;
        require(countSenders() <= 1, "two processes may send at once");
    }

    void onOrder(String sender, OrdersEffect.Send send, long delayedMs) {
        readHistory();
        checks += 3;
        long token = send.fencing().value();
        String first = senderByToken.putIfAbsent(token, sender);
        require(first == null || first.equals(sender), "two processes sent under token " + token);
        if (token < highestToken && !simulation.checksFencing && delayedMs > ALLOWED_GAP_MS) {
            allowedGaps++;
        } else {
            require(
                    token >= highestToken,
                    "an order under token " + token + " took effect after token " + highestToken);
        }
        highestToken = Math.max(highestToken, token);
        String intent = describe(
                send.orderId(), send.order().endpoint().value(), send.order().running());
        require(intents.contains(intent), "order without a recorded intent: " + intent);
    }

    void atEnd() {
        checks += 2 + simulation.desired.size();
        simulation.desired.forEach((id, order) -> {
            EndpointOrder actual = simulation.endpoints.get(id);
            boolean stopped = !order.running() && actual == null;
            require(stopped || order.equals(actual), "endpoint " + id + " did not reach its desired state");
        });
        require(countSenders() == 1, "expected one process that may send at the end");
        require(unsettledIntents == 0, "unsettled intents remain at the end");
    }

    private int countSenders() {
        int senders = 0;
        for (OrdersSimulation.SimulatedProcess peer : simulation.processes) {
            senders += peer.mayAct() && peer.lease.view().maySend(simulation.nowMs) ? 1 : 0;
        }
        return senders;
    }

    private void readHistory() {
        List<StoredObject> history = simulation.store.historyFrom(historyPosition);
        historyPosition += history.size();
        for (StoredObject object : history) {
            JsonNode node = parse(object);
            if (object.key().equals(OrdersSimulation.LEASE)) {
                checkLease(node);
            } else {
                unsettledIntents = node.path("intents").size();
                for (JsonNode item : node.path("intents")) {
                    intents.add(describe(
                            item.path("order_id").asText(),
                            item.path("endpoint").asText(),
                            item.path("running").asBoolean()));
                }
            }
        }
    }

    private void checkLease(JsonNode lease) {
        checks += 2;
        long token = lease.path("fencing").asLong();
        String holder =
                lease.path("holder").asText() + "/" + lease.path("incarnation").asLong();
        require(token >= leaseToken, "the fencing token of the lease decreased");
        boolean released = lease.path("holder").asText().isEmpty();
        require(
                released || holder.equals(leaseHolder) || token > leaseToken,
                "a new holder needs a higher fencing token");
        leaseToken = token;
        leaseHolder = released ? "" : holder;
    }

    private void require(boolean condition, String violation) {
        if (!condition) {
            violations.add("at " + simulation.nowMs + " ms: " + violation);
        }
    }

    private static String describe(String orderId, String endpoint, boolean running) {
        return orderId + " " + endpoint + " " + running;
    }

    private static JsonNode parse(StoredObject object) {
        try {
            return JSON.readTree(object.value());
        } catch (IOException e) {
            throw new IllegalStateException("an object in the history is not valid JSON", e);
        }
    }
}

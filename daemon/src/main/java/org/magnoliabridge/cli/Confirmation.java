package org.magnoliabridge.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/**
 * Waits until every live member reports a version.
 *
 * <p>A member counts as confirmed when any node that answers knows that it has the version, or when all of them have
 * been out of contact with it for longer than the freshness limit: it then refuses keyed work by itself.
 */
final class Confirmation {
    private static final long FRESHNESS_LIMIT_MS = 10_000;
    private static final long POLL_MS = 200;
    private static final Set<String> ENDED = Set.of("dead", "left");
    static final String NOBODY = "no node answers";

    private final NodeClient nodes;
    private final String field;
    private final long version;

    /** Creates one for a field of the status, {@code bundle_version} or {@code withdrawals_version}. */
    Confirmation(NodeClient nodes, String field, long version) {
        this.nodes = nodes;
        this.field = field;
        this.version = version;
    }

    /** Returns the names of the members that have not confirmed when the wait ends; empty if all have. */
    SortedSet<String> await(long waitMs) throws CommandException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
        SortedSet<String> pending = pending();
        while (!pending.isEmpty() && System.nanoTime() - end < 0) {
            try {
                Thread.sleep(POLL_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return pending;
            }
            pending = pending();
        }
        return pending;
    }

    private SortedSet<String> pending() throws CommandException {
        Map<String, Boolean> confirmed = new HashMap<>();
        boolean answered = false;
        for (NodeClient.Reply reply : nodes.askAll()) {
            if (reply.body().isPresent()) {
                answered = true;
                view(reply.body().get(), confirmed);
            }
        }
        SortedSet<String> pending = new TreeSet<>();
        if (!answered) {
            pending.add(NOBODY);
        }
        confirmed.forEach((member, done) -> {
            if (!done) {
                pending.add(member);
            }
        });
        return pending;
    }

    private void view(JsonNode status, Map<String, Boolean> confirmed) {
        note(status.path("node_id").asText("?"), has(status), confirmed);
        for (JsonNode member : status.path("members")) {
            if (!ENDED.contains(member.path("state").asText())) {
                boolean silent = member.path("contact_age_ms").asLong() > FRESHNESS_LIMIT_MS;
                note(member.path("node_id").asText("?"), has(member) || silent, confirmed);
            }
        }
    }

    private boolean has(JsonNode node) {
        return node.path(field).asLong() >= version;
    }

    private static void note(String member, boolean done, Map<String, Boolean> confirmed) {
        confirmed.merge(member, done, Boolean::logicalOr);
    }
}

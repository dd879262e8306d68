package org.magnoliabridge.warmup;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.membership.Rendezvous;

/**
 * This node's share of the requests of callers to a cold endpoint. Deterministic and not thread-safe.
 *
 * <p>With at most as many nodes as requests in a span, each node has the same number in any span. With more nodes, they
 * take turns by the wall clock: in each turn the first nodes of a rendezvous ranking for this endpoint and turn may
 * send one request each, and the sending times of two turns lie more than a span and the tolerated error of the clocks
 * apart.
 *
 * <p>Nodes do not have the same view of the members. If each node's view holds every node that sends, then the nodes
 * that take themselves for the first ones are among the first of those that send, so the limit holds whatever else the
 * views hold. So a node that has joined or rejoined sends nothing before all others know it, and counts a node that it
 * no longer sees for as long as that one may need to learn that it has no majority, and then sends nothing either.
 */
final class CallerShare {
    // The smaller side of a partition knows within 13 s that it has no majority, and sooner all nodes know a new one.
    static final long RETENTION_MS = 15_000;
    // A node that starts during a partition does not know the nodes of the other side, which may still send.
    static final long JOIN_MS = RETENTION_MS;
    // How long nodes may send in each turn; several ticks of the control loop.
    static final long TURN_SENDING_MS = 500;
    // Largest difference between the wall clocks of two nodes at which turns do not overlap.
    static final long CLOCK_ERROR_MS = 500;
    // Turns that are looked at ahead; later ones do not matter to a caller that waits some seconds.
    private static final int MAX_TURNS_AHEAD = 8;

    private final NodeId self;
    private final Map<NodeId, Long> seenMs = new HashMap<>();
    private final Map<EndpointId, Turn> turns = new HashMap<>();
    private Set<NodeId> members = Set.of();
    private boolean majority;
    private long majoritySinceMs;
    // Wall clock minus monotonic clock.
    private long wallOffsetMs;

    private record Turn(long number, int requests, boolean mine) {}

    CallerShare(NodeId self) {
        this.self = self;
    }

    void setWallClock(long nowMs, long wallMs) {
        wallOffsetMs = wallMs - nowMs;
    }

    void setMajority(long nowMs, boolean reached) {
        if (reached && !majority) {
            majoritySinceMs = nowMs;
        }
        majority = reached;
    }

    /** Sets the nodes that are not known to have ended; to be called often, also without a change. */
    void setMembers(long nowMs, Collection<NodeId> current) {
        current.forEach(id -> seenMs.put(id, nowMs));
        seenMs.put(self, nowMs);
        seenMs.values().removeIf(seen -> nowMs - seen > RETENTION_MS);
        if (!members.equals(seenMs.keySet())) {
            members = Set.copyOf(seenMs.keySet());
            turns.clear();
        }
    }

    /**
     * Returns how many requests this node may send to an endpoint in a span that ends now; 0 if it may send none now.
     */
    int requests(long nowMs, EndpointId endpoint, ServiceWarmUp service) {
        int all = service.requests(Sender.CALLERS);
        if (!maySend(nowMs) || all == 0) {
            return 0;
        }
        if (members.size() <= all) {
            return all / members.size();
        }
        long wallMs = nowMs + wallOffsetMs;
        long lengthMs = turnMs(service);
        boolean sending = Math.floorMod(wallMs, lengthMs) < TURN_SENDING_MS;
        return sending && isMine(endpoint, Math.floorDiv(wallMs, lengthMs), all) ? 1 : 0;
    }

    /** Returns how many requests this node may send to an endpoint until a time, not counting those it has sent. */
    long requestsUntil(long nowMs, long untilMs, EndpointId endpoint, ServiceWarmUp service) {
        int all = service.requests(Sender.CALLERS);
        if (!maySend(nowMs) || all == 0 || untilMs <= nowMs) {
            return 0;
        }
        if (members.size() <= all) {
            long spans = 1 + (untilMs - nowMs) / service.limits().spanMs();
            return spans * (all / members.size());
        }
        long lengthMs = turnMs(service);
        long first = Math.floorDiv(nowMs + wallOffsetMs + lengthMs - TURN_SENDING_MS, lengthMs);
        long last = Math.min(first + MAX_TURNS_AHEAD, Math.floorDiv(untilMs + wallOffsetMs, lengthMs));
        long count = 0;
        for (long turn = first; turn <= last; turn++) {
            count += isFirst(endpoint, turn, all) ? 1 : 0;
        }
        return count;
    }

    private boolean maySend(long nowMs) {
        return majority && nowMs - majoritySinceMs >= JOIN_MS;
    }

    private static long turnMs(ServiceWarmUp service) {
        return service.limits().spanMs() + TURN_SENDING_MS + CLOCK_ERROR_MS;
    }

    private boolean isMine(EndpointId endpoint, long number, int requests) {
        Turn turn = turns.get(endpoint);
        if (turn == null || turn.number() != number || turn.requests() != requests) {
            turn = new Turn(number, requests, isFirst(endpoint, number, requests));
            turns.put(endpoint, turn);
        }
        return turn.mine();
    }

    private boolean isFirst(EndpointId endpoint, long turn, int count) {
        String scope = endpoint + "|" + turn + "|";
        long own = Rendezvous.hash(scope + self);
        int before = 0;
        for (NodeId member : members) {
            before += Rendezvous.hash(scope + member) > own ? 1 : 0;
        }
        return before < count;
    }
}

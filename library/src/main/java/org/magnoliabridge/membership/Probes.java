package org.magnoliabridge.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.ProcessName;
import org.magnoliabridge.wire.CallNumber;

/** The pings in flight, the order in which members are pinged, and the outcomes of recent pings. */
final class Probes {
    /** How long the outcome of a ping counts as recent, in milliseconds. */
    static final long WINDOW_MS = 10_000;

    private final RandomGenerator random;
    private final Deque<NodeId> order = new ArrayDeque<>();
    private final Map<Long, Probe> inFlight = new HashMap<>();
    private final Map<Long, Relay> relays = new HashMap<>();
    private final Deque<Outcome> outcomes = new ArrayDeque<>();
    private CallNumber last;

    Probes(Incarnation run, RandomGenerator random) {
        this.last = CallNumber.beforeFirst(run);
        this.random = random;
    }

    /** Returns the next member to ping: each once in random order, then all again in a new random order. */
    Optional<Member> next(MemberTable table) {
        for (int round = 0; round < 2; round++) {
            while (!order.isEmpty()) {
                Optional<Member> member = table.get(order.remove());
                if (member.isPresent() && member.get().state().liveness() != MemberState.Liveness.DEAD) {
                    return member;
                }
            }
            List<Member> others = new ArrayList<>(table.others());
            while (!others.isEmpty()) {
                order.add(others.remove(random.nextInt(others.size())).id());
            }
        }
        return Optional.empty();
    }

    /** Returns at most {@code count} random alive members, never the excluded one. */
    List<Member> randomAlive(int count, MemberTable table, NodeId excluded) {
        List<Member> others = new ArrayList<>(table.others());
        others.removeIf(m -> m.id().equals(excluded) || !m.isAlive());
        while (others.size() > count) {
            others.remove(random.nextInt(others.size()));
        }
        return others;
    }

    /** Records a ping and returns its id; only counted pings affect suspicion and the majority. */
    long start(Optional<NodeId> target, boolean counted, long nowMs) {
        last = last.next();
        long id = last.requestId();
        inFlight.put(id, new Probe(id, target, counted, nowMs, false));
        return id;
    }

    /** Records a ping on behalf of another process and returns its id. */
    long startRelay(ProcessName requester, long requestId, long nowMs) {
        long id = start(Optional.empty(), false, nowMs);
        relays.put(id, new Relay(requester, requestId));
        return id;
    }

    Optional<Relay> relay(long id) {
        return Optional.ofNullable(relays.get(id));
    }

    /** Records the answer of a member and returns the ping that it belongs to; empty if it is not of the pinged one. */
    Optional<Probe> answered(long id, NodeId by, long nowMs) {
        Probe probe = inFlight.get(id);
        if (probe == null || probe.target().filter(t -> !t.equals(by)).isPresent()) {
            return Optional.empty();
        }
        inFlight.remove(id);
        relays.remove(id);
        if (probe.counted()) {
            outcomes.add(new Outcome(nowMs, true));
        }
        return Optional.of(probe);
    }

    /** Returns the counted pings for which indirect pings are now to be requested, each once. */
    List<Probe> unanswered(long nowMs, long afterMs) {
        List<Probe> result = new ArrayList<>();
        for (Probe p : List.copyOf(inFlight.values())) {
            if (p.counted() && !p.indirectRequested() && nowMs - p.sentAtMs() >= afterMs) {
                inFlight.put(p.id(), new Probe(p.id(), p.target(), true, p.sentAtMs(), true));
                result.add(p);
            }
        }
        return result;
    }

    /** Removes the pings that timed out and returns the counted ones. */
    List<Probe> expired(long nowMs, long afterMs) {
        List<Probe> result = new ArrayList<>();
        for (Probe p : List.copyOf(inFlight.values())) {
            if (nowMs - p.sentAtMs() >= afterMs) {
                inFlight.remove(p.id());
                relays.remove(p.id());
                if (p.counted()) {
                    outcomes.add(new Outcome(nowMs, false));
                    result.add(p);
                }
            }
        }
        result.sort((a, b) -> Long.compare(a.id(), b.id()));
        return result;
    }

    /** Returns whether more than half of the counted pings that ended in the last 10 s were answered; false if none. */
    boolean mostAnswered(long nowMs) {
        outcomes.removeIf(o -> nowMs - o.atMs() > WINDOW_MS);
        long answered = outcomes.stream().filter(Outcome::answered).count();
        return 2 * answered > outcomes.size();
    }

    /** Returns whether a counted ping timed out in the last 10 s. */
    boolean anyUnanswered(long nowMs) {
        return outcomes.stream().anyMatch(o -> !o.answered() && nowMs - o.atMs() <= WINDOW_MS);
    }

    /** A ping in flight; the target is empty if its node id is not known, or if another member requested the ping. */
    record Probe(long id, Optional<NodeId> target, boolean counted, long sentAtMs, boolean indirectRequested) {}

    /** The process that requested an indirect ping, and the id of its own ping, which the answer must carry. */
    record Relay(ProcessName requester, long requestId) {}

    private record Outcome(long atMs, boolean answered) {}
}

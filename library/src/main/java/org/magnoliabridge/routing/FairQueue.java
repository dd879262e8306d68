package org.magnoliabridge.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.magnoliabridge.ids.TeamId;

/**
 * Start-time fair queueing by tokens among teams. Deterministic and not thread-safe.
 *
 * <p>Each team has a first-in-first-out queue, called its flow, with the virtual start time of its next request. The
 * team with the earliest start time is served first, and its start time then advances by the request's tokens divided
 * by the team's weight. A team that was idle starts at the current virtual time, so it can't accumulate priority.
 *
 * @param <T> type of the queued requests
 */
final class FairQueue<T> {
    private final Map<TeamId, Flow<T>> flows = new TreeMap<>();
    private final ToIntFunction<T> cost;
    private double virtualTime;
    private int size;

    FairQueue(ToIntFunction<T> cost) {
        this.cost = cost;
    }

    private static final class Flow<T> {
        private final Deque<T> waiting = new ArrayDeque<>();
        private double virtualStart;
        private long queuedTokens;
        private int weight = 1;
    }

    void add(TeamId team, int weight, T item) {
        Flow<T> flow = flows.computeIfAbsent(team, t -> new Flow<>());
        flow.weight = weight;
        if (flow.waiting.isEmpty()) {
            flow.virtualStart = Math.max(flow.virtualStart, virtualTime);
        }
        flow.waiting.addLast(item);
        flow.queuedTokens += cost.applyAsInt(item);
        size++;
    }

    /** Removes and returns the first request, in fair order, that the predicate accepts. */
    Optional<T> poll(Predicate<T> placeable) {
        List<Flow<T>> order = flows.values().stream()
                .filter(f -> !f.waiting.isEmpty())
                .sorted(Comparator.comparingDouble(f -> f.virtualStart))
                .toList();
        for (Flow<T> flow : order) {
            Optional<T> first = pollFlow(flow, placeable);
            if (first.isPresent()) {
                return first;
            }
        }
        return Optional.empty();
    }

    private Optional<T> pollFlow(Flow<T> flow, Predicate<T> placeable) {
        Iterator<T> items = flow.waiting.iterator();
        while (items.hasNext()) {
            T item = items.next();
            if (placeable.test(item)) {
                items.remove();
                virtualTime = Math.max(virtualTime, flow.virtualStart);
                flow.virtualStart += (double) cost.applyAsInt(item) / flow.weight;
                subtractQueued(flow, item);
                return Optional.of(item);
            }
        }
        return Optional.empty();
    }

    /** Corrects a team's virtual start time by the difference between a request's estimated and used tokens. */
    void correct(TeamId team, int estimated, int used) {
        Flow<T> flow = flows.get(team);
        if (flow != null) {
            flow.virtualStart += (double) (used - estimated) / flow.weight;
        }
    }

    /** Removes and returns all requests that the predicate accepts. */
    List<T> removeIf(Predicate<T> predicate) {
        List<T> removed = new ArrayList<>();
        for (Flow<T> flow : flows.values()) {
            flow.waiting.removeIf(item -> {
                if (predicate.test(item)) {
                    removed.add(item);
                    subtractQueued(flow, item);
                    return true;
                }
                return false;
            });
        }
        return removed;
    }

    /** Returns the team with the largest backlog in proportion to its weight. */
    Optional<TeamId> largestBacklog() {
        return flows.entrySet().stream()
                .filter(e -> !e.getValue().waiting.isEmpty())
                .max(Comparator.comparingDouble(e -> (double) e.getValue().queuedTokens / e.getValue().weight))
                .map(Map.Entry::getKey);
    }

    /** Removes and returns the newest request of a team. */
    Optional<T> removeNewest(TeamId team) {
        Flow<T> flow = flows.get(team);
        if (flow == null || flow.waiting.isEmpty()) {
            return Optional.empty();
        }
        T item = flow.waiting.removeLast();
        subtractQueued(flow, item);
        return Optional.of(item);
    }

    /** Returns an upper bound of the tokens that are served before a new request of the team. */
    double tokensBefore(TeamId team, int weight) {
        Flow<T> flow = flows.get(team);
        double own = flow == null ? 0 : (double) flow.queuedTokens;
        double others = 0;
        for (Map.Entry<TeamId, Flow<T>> e : flows.entrySet()) {
            if (!e.getKey().equals(team)) {
                others += Math.min((double) e.getValue().queuedTokens, own * e.getValue().weight / weight);
            }
        }
        return own + others;
    }

    long tokens() {
        return flows.values().stream().mapToLong(f -> f.queuedTokens).sum();
    }

    int size() {
        return size;
    }

    private void subtractQueued(Flow<T> flow, T item) {
        flow.queuedTokens -= cost.applyAsInt(item);
        size--;
    }
}

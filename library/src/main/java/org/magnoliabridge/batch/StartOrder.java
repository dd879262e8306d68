package org.magnoliabridge.batch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.magnoliabridge.ids.GroupId;

/**
 * The order in which the waiting items of a batch are started.
 *
 * <p>Load pattern: a trainer goes on when a part of the groups is complete, and asks for the rest again in its next
 * batch, where it waits for them whatever else is complete. A group is as slow as its longest item. So groups that were
 * carried over, and the shortest of the others up to the number that is wanted, go first, with their longest items in
 * front. The longest groups will be asked for again: their long items should run on the newest weights, because a text
 * of older ones is of no use to the next batch.
 */
final class StartOrder {
    // A text of fewer events is generated anew within a second or so.
    private static final long MIN_LONG_EVENTS = 24;

    private final RunningBatch batch;
    private final BatchTarget target;
    private final Map<GroupId, Long> longestRemaining = new HashMap<>();
    private final Set<GroupId> surplusGroups = new HashSet<>();

    StartOrder(RunningBatch batch, BatchTarget target) {
        this.batch = batch;
        this.target = target;
        for (RunningItem item : batch.items()) {
            if (!item.finished) {
                longestRemaining.merge(item.item.group(), item.eventsLeft(target), Math::max);
            }
        }
        findSurplusGroups();
    }

    /** Returns the items that wait, in the order in which they are to start. */
    List<RunningItem> waiting(long nowMs) {
        List<RunningItem> waiting = new ArrayList<>();
        for (RunningItem item : batch.items()) {
            if (item.isReady(nowMs)) {
                waiting.add(item);
            }
        }
        waiting.sort(Comparator.comparing((RunningItem i) -> surplusGroups.contains(i.item.group()))
                .thenComparingLong(i -> -i.eventsLeft(target))
                .thenComparingInt(i -> i.position));
        return waiting;
    }

    /** Returns whether an item should run on the newest weights although older ones would do for this batch. */
    boolean prefersNewestWeights(RunningItem item) {
        return surplusGroups.contains(item.item.group()) && item.eventsLeft(target) >= MIN_LONG_EVENTS;
    }

    private void findSurplusGroups() {
        Set<GroupId> carried = new HashSet<>();
        batch.items().stream().filter(i -> i.carriedOver).forEach(i -> carried.add(i.item.group()));
        List<GroupId> others = new ArrayList<>(longestRemaining.keySet());
        long carriedOpen = others.stream().filter(carried::contains).count();
        others.removeIf(carried::contains);
        others.sort(Comparator.comparingLong((GroupId g) -> longestRemaining.get(g))
                .thenComparing(Comparator.naturalOrder()));
        long needed = Math.max(0, batch.head().wantedGroups() - batch.completeGroups() - carriedOpen);
        others.stream().skip(needed).forEach(surplusGroups::add);
    }
}

package org.magnoliabridge.batch;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliabridge.ids.GroupId;
import org.magnoliabridge.ids.ItemId;
import org.magnoliabridge.ids.TeamId;

/** A batch that this node runs: its items and its result log. */
final class RunningBatch {
    // Half of a reader's poll interval: results that complete close together share a segment, with hardly any delay for
    // readers.
    private static final long MAX_APPEND_DELAY_MS = 250;

    private final Map<ItemId, RunningItem> items = new LinkedHashMap<>();
    private final Map<GroupId, Integer> unfinished = new HashMap<>();
    private final ResultLog log;
    private final TextCheckpoints texts;
    private final long openedMs;
    private BatchHead head;
    private boolean groupCompleted;
    private long endedAtMs = Long.MAX_VALUE;
    private long firstPendingAtMs = Long.MAX_VALUE;

    RunningBatch(
            long nowMs,
            BatchHead head,
            List<BatchItem> batchItems,
            TranscriptCache transcripts,
            ResultLog log,
            TextCheckpoints texts) {
        this.openedMs = nowMs;
        this.head = head;
        this.log = log;
        this.texts = texts;
        for (BatchItem item : batchItems) {
            items.put(
                    item.id(),
                    new RunningItem(item, items.size(), transcripts.contains(item), transcripts.find(head, item)));
            unfinished.merge(item.group(), 1, Integer::sum);
        }
    }

    BatchHead head() {
        return head;
    }

    long openedMs() {
        return openedMs;
    }

    ResultLog log() {
        return log;
    }

    TextCheckpoints texts() {
        return texts;
    }

    Collection<RunningItem> items() {
        return items.values();
    }

    /** Returns whether an item waits for an engine. */
    boolean hasReadyItem(long nowMs) {
        for (RunningItem item : items.values()) {
            if (item.isReady(nowMs)) {
                return true;
            }
        }
        return false;
    }

    Optional<RunningItem> item(ItemId id) {
        return Optional.ofNullable(items.get(id));
    }

    /** Returns the answer to a team's request for the body of an item. */
    ReadAnswer body(TeamId team, ItemId id) {
        if (log.loading()) {
            return new ReadAnswer.Unsure();
        }
        if (!head.team().equals(team)) {
            return new ReadAnswer.Missing();
        }
        return item(id).<ReadAnswer>map(i -> new ReadAnswer.Body(i.item.body())).orElseGet(ReadAnswer.Missing::new);
    }

    void end(long nowMs) {
        head = head.end();
        endedAtMs = nowMs;
    }

    long endedAtMs() {
        return endedAtMs;
    }

    boolean endedBefore(long timeMs) {
        return endedAtMs < timeMs;
    }

    /** Returns the number of items of a group without a result. */
    int unfinished(GroupId group) {
        return unfinished.getOrDefault(group, 0);
    }

    /** Returns the number of groups of which all items have a result. */
    long completeGroups() {
        return unfinished.values().stream().filter(n -> n == 0).count();
    }

    /** Marks an item as finished and adds its result to the log. */
    void finish(long nowMs, RunningItem item, ItemResult result) {
        if (markFinished(item)) {
            log.add(result);
            firstPendingAtMs = Math.min(firstPendingAtMs, nowMs);
        }
    }

    /** Finishes an item without a text, and logs the reason. */
    void giveUp(long nowMs, RunningItem item, String reason, List<BatchEffect> effects) {
        finish(nowMs, item, ItemResult.givenUp(item.item.id()));
        effects.add(new BatchEffect.Log(new BatchEvent.GivenUp(head.id(), item.item.id(), reason)));
    }

    /** Marks all items with a committed result as finished, including those of other runners. */
    void applyLog() {
        log.committed().forEach(r -> item(r.item()).ifPresent(this::markFinished));
        if (log.pending() == 0) {
            firstPendingAtMs = Long.MAX_VALUE;
            groupCompleted = false;
        }
    }

    /** Returns whether pending results are to be appended now. */
    boolean flushDue(long nowMs) {
        boolean enoughGroups = groupCompleted && completeGroups() >= head.wantedGroups();
        return enoughGroups || unfinishedItems() == 0 || nowMs - firstPendingAtMs >= MAX_APPEND_DELAY_MS;
    }

    /** Returns whether every item has a committed result. */
    boolean isFullyCommitted() {
        return log.committed().size() >= items.size();
    }

    /** Returns the number of events that are still expected from all items; 0 once the batch has ended. */
    long eventsLeft(BatchTarget target) {
        if (head.ended()) {
            return 0;
        }
        return items.values().stream()
                .filter(i -> !i.finished)
                .mapToLong(i -> i.eventsLeft(target))
                .sum();
    }

    private int unfinishedItems() {
        return unfinished.values().stream().mapToInt(Integer::intValue).sum();
    }

    private boolean markFinished(RunningItem item) {
        if (item.finished) {
            return false;
        }
        item.finished = true;
        int left = unfinished.merge(item.item.group(), -1, Integer::sum);
        groupCompleted |= left == 0;
        return true;
    }
}

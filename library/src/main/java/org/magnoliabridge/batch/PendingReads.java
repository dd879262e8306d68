package org.magnoliabridge.batch;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads that wait for results.
 *
 * <p>A read may be answered without results only from a log that is complete or current: another runner may have
 * committed more results, and a client may already have read them. No node can know that it is the only runner, so a
 * log counts as current only for a short time after it was compared with the store.
 */
final class PendingReads {
    // A result that one node has returned must be visible at every node within a second.
    static final long MAX_AGE_MS = 600;
    // A reader has left this long after its wait has timed out.
    private static final long MAX_REFRESH_MS = 1_000;

    private final Map<Long, PendingRead> pending = new LinkedHashMap<>();
    private final boolean requiresCurrentLog;

    /** Creates an empty list; if {@code requiresCurrentLog} is false, every log counts as current. */
    PendingReads(boolean requiresCurrentLog) {
        this.requiresCurrentLog = requiresCurrentLog;
    }

    private record PendingRead(BatchInput.Read read, RunningBatch batch, long untilMs) {}

    /** Answers a read at once if there is a result, otherwise when there is one or the wait times out. */
    void add(long nowMs, BatchInput.Read read, RunningBatch batch, List<BatchEffect> effects) {
        PendingRead pendingRead = new PendingRead(read, batch, nowMs + read.waitMs());
        if (!answer(nowMs, pendingRead, effects)) {
            pending.put(read.ticket(), pendingRead);
        }
    }

    /** Answers the reads whose results have arrived or whose wait has timed out. */
    void answerReady(long nowMs, List<BatchEffect> effects) {
        Iterator<PendingRead> reads = pending.values().iterator();
        while (reads.hasNext()) {
            if (answer(nowMs, reads.next(), effects)) {
                reads.remove();
            }
        }
    }

    /** Answers all pending reads with {@link ReadAnswer.Unsure}, so that the readers ask elsewhere. */
    void answerAllUnsure(List<BatchEffect> effects) {
        pending.keySet().forEach(ticket -> effects.add(new BatchEffect.Answer(ticket, new ReadAnswer.Unsure())));
        pending.clear();
    }

    private boolean answer(long nowMs, PendingRead pendingRead, List<BatchEffect> effects) {
        RunningBatch batch = pendingRead.batch();
        boolean timedOut = nowMs >= pendingRead.untilMs();
        if (batch.log().loading()) {
            return answerUnsureAfter(nowMs, pendingRead.untilMs(), pendingRead, effects);
        }
        List<ItemResult> committed = batch.log().committed();
        boolean complete = batch.isFullyCommitted() || batch.head().ended();
        if (committed.size() <= pendingRead.read().after()) {
            if (!timedOut && !complete) {
                return false;
            }
            if (!batch.isFullyCommitted() && !isCurrent(nowMs, batch.log())) {
                batch.log().refresh();
                return answerUnsureAfter(nowMs, pendingRead.untilMs() + MAX_REFRESH_MS, pendingRead, effects);
            }
        }
        ReadAnswer page = ReadAnswer.Results.page(
                batch.head().items(), committed, pendingRead.read().after());
        effects.add(new BatchEffect.Answer(pendingRead.read().ticket(), page));
        return true;
    }

    private static boolean answerUnsureAfter(long nowMs, long endMs, PendingRead read, List<BatchEffect> effects) {
        if (nowMs >= endMs) {
            effects.add(new BatchEffect.Answer(read.read().ticket(), new ReadAnswer.Unsure()));
        }
        return nowMs >= endMs;
    }

    private boolean isCurrent(long nowMs, ResultLog log) {
        return !requiresCurrentLog || log.currentAtMs() >= nowMs - MAX_AGE_MS;
    }
}

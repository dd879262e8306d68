package org.magnoliabridge.batch;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Readers that wait for results.
 *
 * <p>A reader may be told that there is nothing at a position only by a log that is complete or current: another runner
 * may have listed more, and somebody may have read it. No node can know that it is the only runner, so the log counts
 * as current only for a short time after the store was asked.
 */
final class PendingReads {
    // A position must be shown at every node within a second of its first showing.
    private static final long MAX_AGE_MS = 600;

    private final Map<Long, PendingRead> pending = new LinkedHashMap<>();
    private final boolean requiresCurrentLog;

    /** Creates an empty list; without checking, a log counts as current at any time. */
    PendingReads(boolean checking) {
        this.requiresCurrentLog = checking;
    }

    private record PendingRead(BatchInput.Read read, RunningBatch batch, long untilMs) {}

    /** Answers a read at once if there is a result, else when there is one or the wait is over. */
    void add(long nowMs, BatchInput.Read read, RunningBatch batch, List<BatchEffect> effects) {
        PendingRead reader = new PendingRead(read, batch, nowMs + read.waitMs());
        if (!answer(nowMs, reader, effects)) {
            pending.put(read.ticket(), reader);
        }
    }

    /** Answers the readers whose results have come or whose wait is over. */
    void answerReady(long nowMs, List<BatchEffect> effects) {
        Iterator<PendingRead> readers = pending.values().iterator();
        while (readers.hasNext()) {
            if (answer(nowMs, readers.next(), effects)) {
                readers.remove();
            }
        }
    }

    /** Tells all readers to ask elsewhere. */
    void answerAllUnsure(List<BatchEffect> effects) {
        pending.keySet().forEach(ticket -> effects.add(new BatchEffect.Answer(ticket, new ReadAnswer.Unsure())));
        pending.clear();
    }

    private boolean answer(long nowMs, PendingRead reader, List<BatchEffect> effects) {
        RunningBatch batch = reader.batch();
        boolean late = nowMs >= reader.untilMs();
        if (batch.log().loading()) {
            if (late) {
                effects.add(new BatchEffect.Answer(reader.read().ticket(), new ReadAnswer.Unsure()));
            }
            return late;
        }
        List<ItemResult> listed = batch.log().committed();
        boolean complete = batch.isFullyCommitted() || batch.head().ended();
        if (listed.size() <= reader.read().after()) {
            if (!late && !complete) {
                return false;
            }
            if (!batch.isFullyCommitted() && !isCurrent(nowMs, batch.log())) {
                batch.log().refresh();
                return false;
            }
        }
        ReadAnswer page = ReadAnswer.Results.page(
                batch.head().items(), listed, reader.read().after());
        effects.add(new BatchEffect.Answer(reader.read().ticket(), page));
        return true;
    }

    private boolean isCurrent(long nowMs, ResultLog log) {
        return !requiresCurrentLog || log.currentAtMs() >= nowMs - MAX_AGE_MS;
    }
}

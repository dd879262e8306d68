package org.magnoliabridge.batch;

import java.util.List;
import org.magnoliabridge.ids.EndpointId;

/** Decides what becomes of an item when a run of it has ended: a result, another run, or neither. */
final class RunOutcomeHandler {
    // An engine that refused or broke an item gets another one soon, but not the same one at once.
    private static final long RETRY_MS = 50;
    // Retries of an item back off to this while no engine takes it.
    private static final long MAX_RETRY_MS = 1_000;

    private final RunTracker runs;
    private final List<BatchEffect> effects;

    /**
     * Creates a settlement.
     *
     * @param effects takes what is to be done
     */
    RunOutcomeHandler(RunTracker runs, List<BatchEffect> effects) {
        this.runs = runs;
        this.effects = effects;
    }

    /** Takes the end of a run. */
    void handle(long nowMs, Run run, RunOutcome outcome, boolean progressed) {
        RunningBatch batch = run.batch;
        RunningItem item = run.item;
        switch (outcome) {
            case RunOutcome.Completed completed -> complete(nowMs, batch, item);
            case RunOutcome.Impossible impossible -> giveUp(nowMs, batch, item, "the engine cannot run it");
            case RunOutcome.Failed failed -> {
                item.failures++;
                if (item.failures >= batch.head().maxAttempts()) {
                    giveUp(nowMs, batch, item, "all attempts failed");
                }
                retry(nowMs, item, run.engine);
            }
            case RunOutcome.Refused refused -> retry(nowMs, item, run.engine);
            case RunOutcome.Unreachable unreachable -> retry(nowMs, item, run.engine);
            case RunOutcome.Stale stale -> retry(nowMs, item, run.engine);
            case RunOutcome.Broken broken -> {
                // A run that has brought the text forward goes on elsewhere at once.
                if (progressed) {
                    item.avoidedEngines.add(run.engine);
                } else {
                    retry(nowMs, item, run.engine);
                }
            }
            case RunOutcome.Stopped stopped -> {}
        }
    }

    private void complete(long nowMs, RunningBatch batch, RunningItem item) {
        if (item.transcript.isUsableFor(batch.head())) {
            batch.finish(nowMs, item, item.transcript.result(item.item.id()));
        } else {
            // Weights changed in the middle of a text that must come from one version.
            item.transcript = Transcript.EMPTY;
        }
    }

    private static void retry(long nowMs, RunningItem item, EndpointId engine) {
        item.avoidedEngines.add(engine);
        long waitMs = Math.min(MAX_RETRY_MS, RETRY_MS * item.avoidedEngines.size());
        item.notBeforeMs = nowMs + waitMs;
    }

    /** Lists an item as one that has no text. */
    void giveUp(long nowMs, RunningBatch batch, RunningItem item, String reason) {
        if (!item.finished) {
            item.run.ifPresent(runs::stop);
            batch.finish(nowMs, item, ItemResult.givenUp(item.item.id()));
            effects.add(new BatchEffect.Log(new BatchEvent.GivenUp(batch.head().id(), item.item.id(), reason)));
        }
    }
}

package org.magnoliabridge.batch;

import java.util.List;
import org.magnoliabridge.ids.EndpointId;

/** Decides how an item proceeds when its run has ended: with a result, a retry, or neither. */
final class RunOutcomeHandler {
    // Retry delay of an item per engine that refused or failed it, so that the same engine does not get it back at
    // once; other items may go there sooner.
    private static final long RETRY_MS = 50;
    // Maximum retry delay of an item that no engine accepts.
    private static final long MAX_RETRY_MS = 1_000;

    // A tenth of the interval between checks of the store.
    private static final long WITHHELD_RETRY_MS = 100;

    private final RunTracker runs;
    private final Scoring scoring;
    private final List<BatchEffect> effects;

    /**
     * Creates a handler.
     *
     * @param scoring receives the items whose texts are complete
     * @param effects receives the requested effects
     */
    RunOutcomeHandler(RunTracker runs, Scoring scoring, List<BatchEffect> effects) {
        this.runs = runs;
        this.scoring = scoring;
        this.effects = effects;
    }

    /** Handles the end of a run; {@code progressed} tells whether it produced events. */
    void handle(long nowMs, Run run, RunOutcome outcome, boolean progressed) {
        RunningBatch batch = run.batch;
        RunningItem item = run.item;
        switch (outcome) {
            case RunOutcome.Completed completed -> complete(nowMs, batch, item);
            case RunOutcome.Impossible impossible -> giveUp(nowMs, batch, item, "the engine cannot process it");
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
                // If the run produced events, the item resumes at another engine at once.
                if (progressed) {
                    item.avoidedEngines.add(run.engine);
                } else {
                    retry(nowMs, item, run.engine);
                }
            }
            case RunOutcome.Withheld withheld -> item.notBeforeMs = nowMs + WITHHELD_RETRY_MS;
            case RunOutcome.Stopped stopped -> {}
        }
    }

    private void complete(long nowMs, RunningBatch batch, RunningItem item) {
        if (item.transcript.isUsableFor(batch.head())) {
            scoring.textCompleted(nowMs, batch, item);
        } else {
            // The weights changed during a text that must come from a single version.
            item.transcript = Transcript.EMPTY;
        }
    }

    private static void retry(long nowMs, RunningItem item, EndpointId engine) {
        item.avoidedEngines.add(engine);
        long waitMs = Math.min(MAX_RETRY_MS, RETRY_MS * item.avoidedEngines.size());
        item.notBeforeMs = nowMs + waitMs;
    }

    /** Gives an item up: stops its run and adds a result without text. */
    void giveUp(long nowMs, RunningBatch batch, RunningItem item, String reason) {
        if (!item.finished) {
            item.run.ifPresent(runs::stop);
            batch.giveUp(nowMs, item, reason, effects);
        }
    }
}

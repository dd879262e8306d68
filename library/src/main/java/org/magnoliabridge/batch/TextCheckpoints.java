package org.magnoliabridge.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Checkpoints the texts in progress of a batch, and takes over those of an earlier runner.
 *
 * <p>Load pattern: the process that runs the batches dies, or all processes do, while the longest items of a step are
 * some seconds into their texts. If these items start over, they miss the deadline of their step, and every later step
 * of the trainer is late. Long texts are therefore stored about once a second in the batch's log, and the next runner
 * resumes after the last stored event.
 *
 * <p>An item must not run at two engines at once. A runner therefore first appends a segment to the log that claims the
 * texts. An earlier runner that is still active detects the claim when it appends its own next segment, which is due
 * within a second, and stops. A text is therefore resumed only {@link #FENCE_MS} after the claim, or once the other
 * processes that wrote to the log are known to have terminated.
 */
final class TextCheckpoints {
    /** Regenerating a text of fewer events takes no longer than storing and reading it. */
    static final int MIN_STORED_EVENTS = 16;
    /** Interval at which texts of running items are stored; another runner's claim is detected within this time. */
    static final long STORE_INTERVAL_MS = 1_000;
    /** Covers the interval between two segments, one store call, and closing a connection to an engine. */
    static final long FENCE_MS = 1_500;

    // Interval of looking for events to store while there are none; runs report their events as often.
    private static final long CHECK_INTERVAL_MS = 100;
    // Regenerating fewer events takes no longer than waiting for the fence.
    private static final int MIN_EVENTS_TO_TAKE_OVER = 48;
    // How long no items are started after another runner's claim; an election completes within this time.
    private static final long YIELD_MS = 3_000;

    private final String self;
    private final Predicate<String> hasEnded;
    private final Set<TextMechanism> mechanisms;
    private long storedAtMs = Long.MIN_VALUE / 2;
    private long checkedAtMs = Long.MIN_VALUE / 2;
    private Optional<Long> yieldedUntilMs = Optional.empty();
    private boolean awaitingFence;

    /**
     * Creates the checkpoints of a batch.
     *
     * @param self the name of this process in the log
     * @param hasEnded whether a process is known to have terminated
     */
    TextCheckpoints(String self, Predicate<String> hasEnded, Set<TextMechanism> mechanisms) {
        this.mechanisms = mechanisms;
        this.self = Objects.requireNonNull(self);
        this.hasEnded = Objects.requireNonNull(hasEnded);
    }

    /** Returns the events to store now; empty until the store interval has passed. */
    List<PartialText> nextCheckpoint(long nowMs, RunningBatch batch) {
        boolean disabled = !mechanisms.contains(TextMechanism.STORED_TEXTS);
        boolean early = nowMs - storedAtMs < STORE_INTERVAL_MS || nowMs - checkedAtMs < CHECK_INTERVAL_MS;
        if (disabled || early || yieldedUntilMs.isPresent()) {
            return List.of();
        }
        checkedAtMs = nowMs;
        List<PartialText> due = new ArrayList<>();
        for (RunningItem item : batch.items()) {
            boolean unfinished = !item.finished && (item.run.isPresent() || item.awaitsScore());
            if (unfinished && item.eventCount() >= MIN_STORED_EVENTS) {
                List<Transcript.Event> unstored =
                        batch.log().texts().unstoredEvents(self, item.item.id(), item.allEvents());
                if (!unstored.isEmpty()) {
                    due.add(new PartialText(item.item.id(), unstored));
                }
            }
        }
        if (!due.isEmpty()) {
            storedAtMs = nowMs;
        }
        return due;
    }

    /**
     * Takes over the texts of earlier runners after the log was read; returns how many items resume from a text. A text
     * that this process knows from an earlier term is treated alike, since another runner may have continued it.
     */
    int takeOver(RunningBatch batch) {
        boolean othersEnded = othersHaveEnded(batch);
        int takenOver = 0;
        for (RunningItem item : batch.items()) {
            if (item.finished || item.transcript.complete() || item.run.isPresent()) {
                continue;
            }
            Transcript known = longestText(batch, item);
            if (known.lastEvent() == 0) {
                continue;
            }
            boolean worthResuming = othersEnded || known.lastEvent() >= MIN_EVENTS_TO_TAKE_OVER;
            item.transcript = worthResuming ? known : Transcript.EMPTY;
            item.awaitingFence = worthResuming;
            takenOver += worthResuming ? 1 : 0;
        }
        if (takenOver > 0 && !othersEnded) {
            batch.log().claim();
        }
        awaitingFence = takenOver > 0;
        return takenOver;
    }

    private static Transcript longestText(RunningBatch batch, RunningItem item) {
        return batch.log()
                .texts()
                .find(batch.head(), item.item.id())
                .filter(stored -> stored.lastEvent() > item.transcript.lastEvent())
                .orElse(item.transcript);
    }

    /**
     * Checks the claims in the log; returns whether another runner has just claimed the texts, so that the runs at this
     * node must stop.
     */
    boolean checkClaimLost(long nowMs, RunningBatch batch) {
        boolean lost = batch.log().isClaimedByAnother() && yieldedUntilMs.isEmpty();
        if (lost) {
            yieldedUntilMs = Optional.of(nowMs + YIELD_MS);
        }
        return lost;
    }

    /** Returns whether items may be started; releases the items that wait for the fence once it is complete. */
    boolean mayRun(long nowMs, RunningBatch batch) {
        if (yieldedUntilMs.isPresent()) {
            if (nowMs < yieldedUntilMs.get()) {
                return false;
            }
            yieldedUntilMs = Optional.empty();
            batch.items().forEach(i -> i.awaitingFence = !i.allEvents().isEmpty());
            awaitingFence = true;
            batch.log().claim();
        }
        if (awaitingFence && isFenceComplete(nowMs, batch)) {
            awaitingFence = false;
            batch.items().forEach(i -> i.awaitingFence = false);
        }
        return true;
    }

    private boolean isFenceComplete(long nowMs, RunningBatch batch) {
        if (batch.log().isClaiming()) {
            return false;
        }
        boolean fenced = nowMs - batch.log().claimedAtMs() >= FENCE_MS;
        return fenced || othersHaveEnded(batch);
    }

    private boolean othersHaveEnded(RunningBatch batch) {
        return !mechanisms.contains(TextMechanism.TEXT_FENCE)
                || batch.log().writers().stream().allMatch(w -> w.equals(self) || hasEnded.test(w));
    }
}

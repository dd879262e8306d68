package org.magnoliabridge.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The texts in progress of a batch: when they are stored, and when those of an earlier runner go on here.
 *
 * <p>Load pattern: the process that runs the batches dies, or all processes do, while the longest items of a step are
 * some seconds into their texts. Started over, these items miss the time of their step, and every later step of the
 * trainer comes late. So a long text is stored about once a second, in the batch's log, and the next runner goes on
 * after its last stored event.
 *
 * <p>An item must not go on at two engines at once. A runner therefore claims the texts with a segment of the log
 * first. Another runner that is still at work meets that segment with its next one, which is due within a second, and
 * stops. So a text goes on only a while after the claim, or once the processes that wrote to the log have ended.
 */
final class TextCheckpoints {
    /** A text of fewer events is generated anew in the time that it takes to store and read it. */
    static final int MIN_STORED_EVENTS = 16;
    /** While an item runs, its text is stored this often, and a claim of another runner is noticed this soon. */
    static final long STORE_INTERVAL_MS = 1_000;
    /** Covers the time between two segments, one call to the store, and the end of a connection to an engine. */
    static final long FENCE_MS = 1_500;

    // Generating fewer events anew takes no longer than waiting for the fence.
    private static final int MIN_EVENTS_TO_TAKE_OVER = 48;
    // After a lost claim the other runner is left alone for this long; elections settle within it.
    private static final long YIELD_MS = 3_000;

    private final String self;
    private final Predicate<String> hasEnded;
    private final Set<TextMechanism> mechanisms;
    private long storedAtMs = Long.MIN_VALUE / 2;
    private Optional<Long> yieldedUntilMs = Optional.empty();
    private boolean awaitingFence;

    /**
     * Creates the texts of a batch.
     *
     * @param self the name of this process in the log
     * @param hasEnded whether a process is known to have ended
     */
    TextCheckpoints(String self, Predicate<String> hasEnded, Set<TextMechanism> mechanisms) {
        this.mechanisms = mechanisms;
        this.self = Objects.requireNonNull(self);
        this.hasEnded = Objects.requireNonNull(hasEnded);
    }

    /** Returns what has to be stored now. */
    List<PartialText> nextCheckpoint(long nowMs, RunningBatch batch) {
        boolean off = !mechanisms.contains(TextMechanism.STORED_TEXTS);
        if (off || nowMs - storedAtMs < STORE_INTERVAL_MS || yieldedUntilMs.isPresent()) {
            return List.of();
        }
        List<PartialText> due = new ArrayList<>();
        for (RunningItem item : batch.items()) {
            if (!item.finished && item.run.isPresent()) {
                List<Transcript.Event> text = item.allEvents();
                List<Transcript.Event> missing = batch.log().texts().missing(self, item.item.id(), text);
                if (text.size() >= MIN_STORED_EVENTS && !missing.isEmpty()) {
                    due.add(new PartialText(item.item.id(), missing));
                }
            }
        }
        if (!due.isEmpty()) {
            storedAtMs = nowMs;
        }
        return due;
    }

    /** Takes the texts of earlier runners over, after the log was read; returns how many items go on with one. */
    int takeOver(RunningBatch batch) {
        boolean alone = othersHaveEnded(batch);
        int taken = 0;
        for (RunningItem item : batch.items()) {
            Optional<Transcript> stored = batch.log().texts().find(batch.head(), item.item.id());
            if (item.finished || item.run.isPresent() || stored.isEmpty()) {
                continue;
            }
            long events = stored.get().lastEvent();
            boolean worthIt = alone || events >= MIN_EVENTS_TO_TAKE_OVER;
            if (worthIt && events > item.transcript.lastEvent()) {
                item.transcript = stored.get();
                item.awaitingFence = true;
                taken++;
            }
        }
        if (taken > 0 && !alone) {
            batch.log().claim();
        }
        awaitingFence = taken > 0;
        return taken;
    }

    /**
     * Follows the claims in the log; returns whether another runner has just taken the texts over, so that the runs of
     * this one must stop.
     */
    boolean checkClaimLost(long nowMs, RunningBatch batch) {
        boolean lost = batch.log().isClaimedByAnother() && yieldedUntilMs.isEmpty();
        if (lost) {
            yieldedUntilMs = Optional.of(nowMs + YIELD_MS);
        }
        return lost;
    }

    /** Returns whether items may be started, and lets those go on for which the claim holds by now. */
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

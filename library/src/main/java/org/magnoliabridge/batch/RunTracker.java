package org.magnoliabridge.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.ItemId;
import org.magnoliabridge.ids.WeightVersion;

/**
 * Tracks the runs at engines: starts them, records their progress, and migrates those that stall or are slow.
 *
 * <p>Load pattern: an engine becomes slow or stalls in the middle of a text. The text so far is kept, and processing
 * the prompt again takes milliseconds, so the run is migrated to another engine as soon as it falls behind. For the
 * same reason the runs of an evacuated data centre are migrated at once, even if they then wait for a slot.
 */
final class RunTracker {
    // A run without an event for this long has stalled; the slowest healthy engine sends one in a tenth of this time.
    private static final long STALL_MS = 800;
    // A run with fewer remaining events ends sooner at its current engine.
    private static final long MIN_EVENTS_TO_MIGRATE = 8;

    private final Map<ItemRunId, Run> runs = new HashMap<>();
    private final Placement placement;
    private final SlowEngineDetector detector;
    private final List<BatchEffect> effects;
    private long lastRun;
    private long lastProgressMs;

    /**
     * Creates a tracker without runs.
     *
     * @param effects receives the requested effects
     */
    RunTracker(Placement placement, SlowEngineDetector detector, List<BatchEffect> effects) {
        this.placement = placement;
        this.detector = detector;
        this.effects = effects;
    }

    int size() {
        return runs.size();
    }

    /** Starts a run of an item. */
    void start(long nowMs, RunningBatch batch, RunningItem item, EngineState engine, long lastEvent, long limitMs) {
        ItemRunId id = new ItemRunId(++lastRun);
        Optional<WeightVersion> version = batch.head().model().flatMap(engine::version);
        Run run = new Run(id, batch, item, engine.endpoint(), nowMs, item.item.expectedTotalTokens(), version);
        item.run = Optional.of(id);
        runs.put(id, run);
        placement.runStarted(run.engine, run.reservedTokens);
        effects.add(new BatchEffect.StartRun(
                new ItemRun(id, batch.head(), item.item, engine.endpoint(), lastEvent, limitMs)));
    }

    /** Removes a run that has ended; returns the run, if it is known. */
    Optional<Run> recordEnd(ItemRunId id) {
        Run run = runs.remove(id);
        if (run == null) {
            return Optional.empty();
        }
        placement.runEnded(run.engine, run.reservedTokens);
        run.item.run = Optional.empty();
        run.item.runEvents.clear();
        return Optional.of(run);
    }

    /** Stops a run; its end is still reported. */
    void stop(Run run) {
        if (!run.stopping) {
            run.stopping = true;
            effects.add(new BatchEffect.StopRun(run.id));
        }
    }

    void stop(ItemRunId id) {
        Run run = runs.get(id);
        if (run != null) {
            stop(run);
        }
    }

    /** Returns the runs of a batch. */
    List<Run> of(RunningBatch batch) {
        return runs.values().stream().filter(r -> r.batch == batch).toList();
    }

    /** Reassigns the run that an ended batch has left for an item to a later batch, or stops it if it does not fit. */
    void reassign(RunningBatch batch, RunningItem item) {
        ItemId id = item.item.id();
        for (Run run : new ArrayList<>(runs.values())) {
            boolean same = run.batch.head().ended() && run.item.item.id().equals(id);
            if (!same || run.stopping) {
                continue;
            }
            boolean fits = run.item.item.sameRequest(item.item)
                    && run.item.transcript.isUsableFor(batch.head())
                    && run.version.map(batch.head()::accepts).orElse(false);
            if (fits) {
                run.batch = batch;
                item.transcript = run.item.transcript;
                item.runEvents.addAll(run.item.runEvents);
                item.run = Optional.of(run.id);
                run.item = item;
                effects.add(new BatchEffect.Log(
                        new BatchEvent.Migrated(batch.head().id(), id, run.engine, "continues for this batch")));
            } else {
                stop(run);
            }
        }
    }

    /** Records the events since the last call, and stops slow or stalled runs that another engine can continue. */
    void recordProgress(
            long nowMs,
            Map<ItemRunId, List<Transcript.Event>> events,
            Function<RunningBatch, Optional<BatchTarget>> targets) {
        long elapsedMs = nowMs - lastProgressMs;
        lastProgressMs = nowMs;
        for (Run run : runs.values()) {
            List<Transcript.Event> newEvents = events.getOrDefault(run.id, List.of());
            run.item.runEvents.addAll(newEvents);
            boolean loading = placement.isLoading(run.engine, run.batch.head());
            if (!newEvents.isEmpty() || loading) {
                run.lastProgressMs = nowMs;
            }
            if (!loading && run.events > 0) {
                detector.observe(run.engine, newEvents.size(), elapsedMs);
            }
            run.events += newEvents.size();
        }
        detector.evaluate(nowMs);
        for (Run run : new ArrayList<>(runs.values())) {
            targets.apply(run.batch).ifPresent(target -> migrateIfSlow(nowMs, run, target));
        }
    }

    /** Stops the runs of open batches at evacuated engines, unless no other engine could continue them. */
    void evacuate(Set<EndpointId> evacuated, Function<RunningBatch, Optional<BatchTarget>> targets) {
        if (evacuated.isEmpty()) {
            return;
        }
        for (Run run : runs.values()) {
            BatchHead head = run.batch.head();
            boolean affected = evacuated.contains(run.engine) && !run.stopping && !head.ended();
            if (affected
                    && targets.apply(run.batch)
                            .filter(t -> placement.hasEngine(t, head))
                            .isPresent()) {
                effects.add(new BatchEffect.Log(new BatchEvent.Migrated(
                        head.id(), run.item.item.id(), run.engine, "its data centre is evacuated")));
                stop(run);
            }
        }
    }

    private void migrateIfSlow(long nowMs, Run run, BatchTarget target) {
        boolean stalled = nowMs - run.lastProgressMs >= STALL_MS;
        if (stalled) {
            detector.markStalled(nowMs, run.engine);
        }
        boolean slow = detector.isSlow(run.engine) && run.eventsLeft(target) >= MIN_EVENTS_TO_MIGRATE;
        if (run.stopping || placement.isLoading(run.engine, run.batch.head()) || !(stalled || slow)) {
            return;
        }
        boolean hasBetterEngine = placement.candidates(target, run.batch.head()).stream()
                .anyMatch(e -> isBetter(e.endpoint().id(), run));
        if (hasBetterEngine) {
            run.item.avoidedEngines.add(run.engine);
            effects.add(new BatchEffect.Log(new BatchEvent.Migrated(
                    run.batch.head().id(),
                    run.item.item.id(),
                    run.engine,
                    stalled ? "engine sends no events" : "engine is slow")));
            stop(run);
        }
    }

    private boolean isBetter(EndpointId engine, Run run) {
        return !engine.equals(run.engine) && !detector.isSlow(engine);
    }
}

package org.magnoliabridge.batch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.magnoliabridge.batch.BatchMessages.EndRequest;
import org.magnoliabridge.ids.BatchId;
import org.magnoliabridge.ids.ModelId;
import org.magnoliabridge.ids.RouteId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.ids.WeightVersion;
import org.magnoliabridge.warmup.WarmUpPacer;

/**
 * Runs the batches of a deployment: assigns items to engines, appends results to the result logs and answers reads.
 *
 * <p>Correctness does not depend on having a single runner: {@link ResultLog} makes concurrent runners agree on the
 * position of every result. All times are readings of the node's monotonic clock, except the age of a batch, which is
 * determined by the wall clock.
 *
 * <pre>{@code
 * for (BatchEffect effect : core.on(clock.nowMs(), new BatchInput.Tick())) { ... }
 * }</pre>
 */
public final class BatchCore {
    // How long runs continue after their batch has ended; the trainer resubmits their groups after its training time.
    private static final long LINGER_MS = 2_500;
    // How long an item waits for an engine with the newest weights; covers one or two weight loads.
    private static final long NEWEST_WAIT_MS = 2_200;
    // How long reads of an ended batch are answered from memory.
    private static final long ENDED_RETENTION_MS = 30_000;
    // Total length of the committed texts of ended batches; a fraction of the heap of a small node, about 120 MB.
    static final long MAX_ENDED_CHARS = 8 << 20;

    private final String runner;
    private final LongSupplier wallClock;
    private final Predicate<String> hasEnded;
    private final TranscriptCache transcripts = new TranscriptCache();
    private final SlowEngineDetector detector = new SlowEngineDetector();
    private final EngineBackoff backoff = new EngineBackoff();
    private final Placement placement;
    private final PendingReads reads;
    private final Set<BatchMechanism> mechanisms;
    private final Set<TextMechanism> textMechanisms;
    private final Map<BatchId, RunningBatch> batches = new LinkedHashMap<>();
    private final EndedBatches<BatchId> endedBatches = new EndedBatches<>();
    private final EndedBatches<EndRequest> requestedEnds = new EndedBatches<>();
    private final Map<Long, RunningBatch> pendingRequests = new HashMap<>();
    private final List<BatchEffect> effects = new ArrayList<>();
    private final RunTracker runs;
    private final Scoring scoring;
    private final RunOutcomeHandler outcomeHandler;
    private final Map<ModelId, WeightVersion> newestVersions = new HashMap<>();
    private long configVersion;
    private Map<RouteId, BatchTarget> routes = Map.of();
    private long lastTag;

    /**
     * Creates a core without batches.
     *
     * @param runner identifies this process, unique over all processes; stored with each append to a log
     * @param wallClock milliseconds since the epoch
     * @param hasEnded whether the process of another runner is known to have terminated
     */
    public BatchCore(String runner, LongSupplier wallClock, Predicate<String> hasEnded) {
        this(runner, wallClock, hasEnded, WarmUpPacer.unlimited());
    }

    /** Creates a core without batches that keeps to the limits of cold engines. */
    public BatchCore(String runner, LongSupplier wallClock, Predicate<String> hasEnded, WarmUpPacer pacer) {
        this(
                runner,
                wallClock,
                hasEnded,
                EnumSet.allOf(BatchMechanism.class),
                EnumSet.allOf(TextMechanism.class),
                pacer);
    }

    BatchCore(
            String runner,
            LongSupplier wallClock,
            Predicate<String> hasEnded,
            Set<BatchMechanism> mechanisms,
            Set<TextMechanism> textMechanisms) {
        this(runner, wallClock, hasEnded, mechanisms, textMechanisms, WarmUpPacer.unlimited());
    }

    private BatchCore(
            String runner,
            LongSupplier wallClock,
            Predicate<String> hasEnded,
            Set<BatchMechanism> mechanisms,
            Set<TextMechanism> textMechanisms,
            WarmUpPacer pacer) {
        this.textMechanisms = textMechanisms;
        this.hasEnded = Objects.requireNonNull(hasEnded);
        this.mechanisms = mechanisms;
        this.reads = new PendingReads(mechanisms.contains(BatchMechanism.CURRENT_CHECK));
        this.runner = Objects.requireNonNull(runner);
        this.wallClock = Objects.requireNonNull(wallClock);
        this.placement = new Placement(detector, backoff, pacer);
        this.runs = new RunTracker(placement, detector, effects);
        this.scoring = new Scoring(pacer, wallClock, mechanisms, effects);
        this.outcomeHandler = new RunOutcomeHandler(runs, scoring, effects);
    }

    /** Handles an input and returns the resulting effects in order. */
    public List<BatchEffect> on(long nowMs, BatchInput input) {
        placement.setTime(nowMs);
        switch (input) {
            case BatchInput.Open open -> open(nowMs, open);
            case BatchInput.End end -> end(nowMs, end.batch());
            case BatchInput.EndRequested requested -> endRequested(nowMs, requested.request());
            case BatchInput.SteppedDown steppedDown -> stepDown();
            case BatchInput.Routes update -> {
                configVersion = update.version();
                routes = update.targets();
                scoring.replaceRoutes(update.scorers());
            }
            case BatchInput.Engines update -> {
                placement.replaceEngines(update.engines());
                scoring.replaceEndpoints(update.engines());
                runs.evacuate(update.evacuated(), this::target);
            }
            case BatchInput.NewestVersion update ->
                newestVersions.merge(update.model(), update.version(), (a, b) -> b.isAfter(a) ? b : a);
            case BatchInput.Progress progress -> runs.recordProgress(nowMs, progress.events(), this::target);
            case BatchInput.RunEnded ended -> runEnded(nowMs, ended);
            case BatchInput.ScoreEnded ended -> scoring.ended(nowMs, ended);
            case BatchInput.StoreReplied reply -> storeReplied(nowMs, reply);
            case BatchInput.Read read -> read(nowMs, read);
            case BatchInput.ReadBody body -> readBody(body);
            case BatchInput.Tick tick -> {
                giveUp(nowMs);
                stopLingering(nowMs);
                evictEnded(nowMs);
            }
        }
        place(nowMs);
        scoring.update(nowMs);
        reads.answerReady(nowMs, effects);
        append(nowMs);
        List<BatchEffect> result = List.copyOf(effects);
        effects.clear();
        return result;
    }

    /** Returns whether this node runs a batch. */
    public boolean hasBatch(BatchId batch) {
        return batches.containsKey(batch);
    }

    /** Returns the team of a batch that this node runs. */
    public Optional<TeamId> team(BatchId batch) {
        return Optional.ofNullable(batches.get(batch)).map(b -> b.head().team());
    }

    /** Returns the batches that are open at this node. */
    public List<BatchHead> open() {
        return batches.values().stream()
                .map(RunningBatch::head)
                .filter(h -> !h.ended())
                .toList();
    }

    /**
     * Returns the total slot time that the open items of each service and model still need; empty until the median time
     * per event is known.
     */
    public RemainingWork remainingWork() {
        RemainingWork remaining = new RemainingWork(new HashMap<>(), new HashMap<>());
        if (detector.medianEventMs().isPresent()) {
            for (RunningBatch batch : batches.values()) {
                target(batch).ifPresent(target -> {
                    double slotMs =
                            batch.eventsLeft(target) * detector.medianEventMs().getAsDouble();
                    remaining.byService().merge(target.service(), slotMs, Double::sum);
                    batch.head().model().ifPresent(m -> remaining.byModel().merge(m, slotMs, Double::sum));
                });
            }
        }
        return remaining;
    }

    /** Returns the number of items that run at engines. */
    public int runningItems() {
        return runs.size();
    }

    /** Returns the number of items that wait for an engine. */
    public long waitingItems(long nowMs) {
        return batches.values().stream()
                .filter(b -> !b.head().ended())
                .flatMap(b -> b.items().stream())
                .filter(i -> i.isReady(nowMs))
                .count();
    }

    private void open(long nowMs, BatchInput.Open open) {
        BatchHead head = open.head();
        // An offer, or a read of the store, may be overtaken by the end of its batch.
        if (batches.containsKey(head.id())
                || endedBatches.contains(head.id())
                || requestedEnds.contains(new EndRequest(head.id(), head.team()))) {
            return;
        }
        ResultLog log = new ResultLog(head.id(), runner, !open.newlyAccepted(), mechanisms);
        RunningBatch batch = new RunningBatch(
                nowMs, head, open.items(), transcripts, log, new TextCheckpoints(runner, hasEnded, textMechanisms));
        batches.put(head.id(), batch);
        long started = batch.items().stream()
                .filter(i -> !i.transcript.events().isEmpty())
                .count();
        log(new BatchEvent.Opened(head.id(), head.items(), (int) started, open.newlyAccepted()));
        for (RunningItem item : batch.items()) {
            if (item.transcript.complete()) {
                scoring.textCompleted(nowMs, batch, item);
            } else {
                runs.reassign(batch, item);
            }
        }
    }

    private void end(long nowMs, BatchId id) {
        endedBatches.add(id);
        RunningBatch batch = batches.get(id);
        if (batch == null || batch.head().ended()) {
            return;
        }
        batch.end(nowMs);
        runs.of(batch).stream().filter(r -> !mayBeResubmitted(r)).forEach(runs::stop);
        batch.items().forEach(i -> transcripts.put(nowMs, i.item, i.transcript));
        log(new BatchEvent.Closed(
                id, batch.log().committed().size(), batch.head().items(), "ended"));
    }

    // The head of an unknown batch has not been read, so its team is compared once it is opened.
    private void endRequested(long nowMs, EndRequest request) {
        requestedEnds.add(request);
        if (team(request.batch()).equals(Optional.of(request.team()))) {
            end(nowMs, request.batch());
        }
    }

    // The trainer's next batch accepts only weights newer than the oldest that this batch accepts. A run on such
    // weights continues for a while, in case its group is resubmitted.
    private static boolean mayBeResubmitted(Run run) {
        BatchHead head = run.batch.head();
        boolean newerWeights = run.version.isPresent()
                && (head.minVersion().isEmpty()
                        || run.version.get().isAfter(head.minVersion().get()));
        boolean newerText = head.minVersion().isEmpty()
                || run.item.transcript.versions().stream()
                        .allMatch(v -> v.isAfter(head.minVersion().get()));
        return newerWeights && newerText && !run.item.finished;
    }

    private void stopLingering(long nowMs) {
        for (RunningBatch batch : batches.values()) {
            if (batch.endedBefore(nowMs - LINGER_MS)) {
                runs.of(batch).forEach(runs::stop);
            }
        }
    }

    private Optional<BatchTarget> target(RunningBatch batch) {
        return Optional.ofNullable(routes.get(batch.head().route()));
    }

    private void stepDown() {
        for (RunningBatch batch : batches.values()) {
            stopRuns(batch);
            log(new BatchEvent.Closed(
                    batch.head().id(),
                    batch.log().committed().size(),
                    batch.head().items(),
                    "dismissed"));
        }
        scoring.dropAll();
        batches.clear();
        pendingRequests.clear();
        reads.answerAllUnsure(effects);
    }

    private void stopRuns(RunningBatch batch) {
        runs.of(batch).forEach(runs::stop);
    }

    private void runEnded(long nowMs, BatchInput.RunEnded ended) {
        Optional<Run> known = runs.recordEnd(ended.run());
        if (known.isEmpty()) {
            return;
        }
        Run run = known.get();
        RunningItem item = run.item;
        boolean completed = ended.outcome() instanceof RunOutcome.Completed;
        if (ended.outcome() instanceof RunOutcome.Refused) {
            backoff.recordRefusal(nowMs, run.engine);
        } else if (!ended.events().isEmpty()) {
            backoff.recordSuccess(run.engine);
        }
        TeamId team = run.batch.head().team();
        item.faults.attemptEnded(
                run.engine,
                ended.outcome().attemptEnd(),
                observation -> effects.add(new BatchEffect.Observe(run.endpoint, observation, team)));
        item.transcript = item.transcript.extended(ended.events(), completed);
        log(new BatchEvent.RunEnded(
                run.batch.head().id(),
                item.item.id(),
                run.engine,
                ended.outcome().toString(),
                item.transcript.lastEvent(),
                nowMs - run.startedMs));
        if (!run.batch.head().ended()) {
            outcomeHandler.handle(nowMs, run, ended.outcome(), !ended.events().isEmpty());
        }
        transcripts.put(nowMs, item.item, item.transcript);
    }

    private void giveUp(long nowMs) {
        long wallMs = wallClock.getAsLong();
        for (RunningBatch batch : batches.values()) {
            boolean expired = wallMs >= batch.head().giveUpAtMs();
            if ((expired || isRouteRemoved(batch.head())) && !batch.head().ended()) {
                String reason = expired ? "give-up time reached" : "route removed from the configuration";
                batch.items().stream()
                        .filter(i -> !i.finished)
                        .forEach(i -> outcomeHandler.giveUp(nowMs, batch, i, reason));
            }
        }
    }

    // A node that is cut off the store may receive a batch on a route that its own configuration is too old to have.
    private boolean isRouteRemoved(BatchHead head) {
        return configVersion > head.configVersion() && !routes.containsKey(head.route());
    }

    // Reads of an ended batch are rare, and can be answered from the store.
    private void evictEnded(long nowMs) {
        List<RunningBatch> ended = batches.values().stream()
                .filter(b -> b.endedBefore(nowMs - LINGER_MS) && b.log().pending() == 0)
                .sorted(Comparator.comparingLong(RunningBatch::endedAtMs))
                .toList();
        long chars = ended.stream().mapToLong(b -> b.log().committedChars()).sum();
        for (RunningBatch batch : ended) {
            if (batch.endedBefore(nowMs - ENDED_RETENTION_MS) || chars > MAX_ENDED_CHARS) {
                batches.remove(batch.head().id());
                chars -= batch.log().committedChars();
            }
        }
    }

    private void place(long nowMs) {
        for (RunningBatch batch : batches.values()) {
            Optional<BatchTarget> target = target(batch);
            boolean open = !batch.head().ended()
                    && !batch.log().loading()
                    && batch.texts().mayRun(nowMs, batch);
            if (open && target.isPresent()) {
                place(nowMs, batch, target.get());
            }
        }
    }

    // Runs for every input: without an engine or a waiting item, nothing may be computed for each item.
    private void place(long nowMs, RunningBatch batch, BatchTarget target) {
        List<EngineState> free = placement.candidates(target, batch.head());
        if (free.isEmpty() || !batch.hasReadyItem(nowMs)) {
            return;
        }
        boolean newestFirst = nowMs - batch.openedMs() < NEWEST_WAIT_MS;
        List<EngineState> newest = new ArrayList<>(free);
        newest.removeIf(e -> newestFirst && !isNewest(e, batch.head()));
        StartOrder plan = new StartOrder(batch, target);
        List<RunningItem> waiting = plan.waiting(nowMs);
        int remaining = waiting.size();
        for (RunningItem item : waiting) {
            remaining--;
            List<EngineState> candidates = newestFirst && plan.prefersNewestWeights(item) ? newest : free;
            if (!candidates.isEmpty()) {
                EngineState engine = placement.choose(target, item, candidates);
                start(nowMs, batch, item, engine, remaining);
                if (!placement.isAvailable(engine)) {
                    free.remove(engine);
                    newest.remove(engine);
                }
            }
            if (free.isEmpty()) {
                return;
            }
        }
    }

    private boolean isNewest(EngineState engine, BatchHead head) {
        return head.model()
                .map(model -> {
                    WeightVersion wanted = newestVersions.get(model);
                    return wanted == null
                            || engine.version(model)
                                    .map(v -> !wanted.isAfter(v))
                                    .orElse(false);
                })
                .orElse(true);
    }

    private void start(long nowMs, RunningBatch batch, RunningItem item, EngineState engine, int waiting) {
        if (!item.transcript.isUsableFor(batch.head())) {
            item.transcript = Transcript.EMPTY;
        }
        BatchHead head = batch.head();
        long limitMs = Math.max(1, head.giveUpAtMs() - wallClock.getAsLong());
        long lastEvent = mechanisms.contains(BatchMechanism.RESUME) ? item.transcript.lastEvent() : 0;
        runs.start(nowMs, batch, item, engine, lastEvent, limitMs);
        log(new BatchEvent.Placed(
                head.id(), item.item.id(), engine.endpoint().id(), lastEvent, item.item.expectedTokens(), waiting));
    }

    private void append(long nowMs) {
        for (RunningBatch batch : batches.values()) {
            batch.log()
                    .next(nowMs, batch.flushDue(nowMs), () -> batch.texts().nextCheckpoint(nowMs, batch))
                    .ifPresent(request -> {
                        long tag = ++lastTag;
                        pendingRequests.put(tag, batch);
                        effects.add(new BatchEffect.Store(tag, request));
                    });
        }
    }

    private void storeReplied(long nowMs, BatchInput.StoreReplied replied) {
        RunningBatch batch = pendingRequests.remove(replied.tag());
        if (batch == null) {
            return;
        }
        try {
            boolean loading = batch.log().loading();
            if (batch.log().reply(nowMs, replied.reply())) {
                batch.applyLog();
                stopCommitted(batch);
                log(new BatchEvent.Committed(
                        batch.head().id(),
                        batch.log().committed().size(),
                        batch.head().items()));
            }
            if (loading && !batch.log().loading()) {
                takeOver(batch);
            }
            if (batch.texts().checkClaimLost(nowMs, batch)) {
                stopRuns(batch);
                log(new BatchEvent.TextClaimLost(batch.head().id()));
            }
        } catch (MalformedBatchException e) {
            // Positions after an unreadable segment cannot be determined, so this node stops running the batch.
            log(new BatchEvent.Closed(
                    batch.head().id(),
                    batch.log().committed().size(),
                    batch.head().items(),
                    e.getMessage()));
            stopRuns(batch);
            scoring.drop(batch);
            batches.remove(batch.head().id());
        }
    }

    private void takeOver(RunningBatch batch) {
        int takenOver = batch.texts().takeOver(batch);
        if (takenOver > 0) {
            log(new BatchEvent.TextsTakenOver(
                    batch.head().id(), takenOver, batch.log().isClaiming()));
        }
    }

    // Stops the runs of items whose results another runner has committed.
    private void stopCommitted(RunningBatch batch) {
        runs.of(batch).stream()
                .filter(r -> r.item.finished && batch.log().isCommitted(r.item.item.id()))
                .forEach(runs::stop);
    }

    private void read(long nowMs, BatchInput.Read read) {
        RunningBatch batch = batches.get(read.batch());
        if (batch == null) {
            effects.add(new BatchEffect.Answer(read.ticket(), new ReadAnswer.Unsure()));
        } else if (!batch.head().team().equals(read.team())) {
            effects.add(new BatchEffect.Answer(read.ticket(), new ReadAnswer.Missing()));
        } else {
            reads.add(nowMs, read, batch, effects);
        }
    }

    private void readBody(BatchInput.ReadBody read) {
        RunningBatch batch = batches.get(read.batch());
        ReadAnswer answer = batch == null ? new ReadAnswer.Unsure() : batch.body(read.team(), read.item());
        effects.add(new BatchEffect.Answer(read.ticket(), answer));
    }

    private void log(BatchEvent event) {
        effects.add(new BatchEffect.Log(event));
    }
}

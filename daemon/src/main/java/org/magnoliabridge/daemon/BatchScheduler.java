package org.magnoliabridge.daemon;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.magnoliabridge.batch.BatchCore;
import org.magnoliabridge.batch.BatchEffect;
import org.magnoliabridge.batch.BatchHead;
import org.magnoliabridge.batch.BatchInput;
import org.magnoliabridge.batch.BatchItem;
import org.magnoliabridge.batch.BatchMessages.EndRequest;
import org.magnoliabridge.batch.Engines;
import org.magnoliabridge.batch.ItemRun;
import org.magnoliabridge.batch.ItemRunId;
import org.magnoliabridge.batch.MalformedBatchException;
import org.magnoliabridge.batch.ReadAnswer;
import org.magnoliabridge.batch.RemainingWork;
import org.magnoliabridge.batch.RunOutcome;
import org.magnoliabridge.batch.Scorers;
import org.magnoliabridge.batch.StartGate;
import org.magnoliabridge.batch.StoreCheck;
import org.magnoliabridge.batch.StoredBatches;
import org.magnoliabridge.batch.Transcript;
import org.magnoliabridge.calls.AttemptEnd;
import org.magnoliabridge.external.PlatformException;
import org.magnoliabridge.external.StoreRequest.Priority;
import org.magnoliabridge.ids.BatchId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.routing.Dispatcher;
import org.magnoliabridge.telemetry.LogFields;

/** Runs the batch core: decisions on the control thread, runs and store calls on virtual threads. */
final class BatchScheduler implements AutoCloseable {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final GatewayContext context;
    private final BatchCore core;
    private final Engines engines;
    private final Dispatcher dispatcher;
    private final StoredBatches stored;
    private final StartGate gate = new StartGate();
    private final SendHold hold;
    private final ScoreCalls scoreCalls;
    private final StoreCheck check;
    private final BatchLog log;
    private final Map<ItemRunId, RunningThread> runs = new ConcurrentHashMap<>();
    // Reads by ticket; used on the control thread only.
    private final Map<Long, Consumer<ReadAnswer>> pendingReads = new HashMap<>();
    private long lastReadTicket;
    // Batches whose items are being read from the store; used on the control thread only.
    private final Set<BatchId> loading = new HashSet<>();
    private boolean active;
    private volatile Optional<Thread> checks = Optional.empty();

    /** The thread of a run, and the events that it has received. */
    private record RunningThread(Thread thread, ReceivedEvents events) {}

    BatchScheduler(
            GatewayContext context,
            BatchCore core,
            Engines engines,
            Scorers scorers,
            Dispatcher dispatcher,
            StoredBatches stored) {
        this.context = context;
        this.core = core;
        this.engines = engines;
        this.hold = new SendHold(gate, context.clock(), context.metrics());
        this.scoreCalls = new ScoreCalls(scorers, hold, context, this::handle);
        this.dispatcher = dispatcher;
        this.stored = stored;
        this.check = new StoreCheck(stored, gate, context.clock(), new StoreCheck.Receiver() {
            @Override
            public void ended(BatchId batch) {
                end(batch);
            }

            @Override
            public void open(List<BatchHead> heads) {
                context.loop().post(() -> load(heads));
            }
        });
        this.log = new BatchLog(context.metrics());
        context.metrics().gauge("batch.runs", () -> runs::size);
        context.metrics().gauge("batch.score_calls", () -> scoreCalls::size);
    }

    /** Returns whether this node runs batches; control thread only. */
    boolean isActive() {
        return active;
    }

    /** Returns whether this node runs a batch, or holds one that has ended; control thread only. */
    boolean runs(BatchId batch) {
        return core.hasBatch(batch);
    }

    /** Returns the batches that are open at this node; control thread only. */
    List<BatchHead> open() {
        return core.open();
    }

    /** Returns the slot time that the open items still need; control thread only. */
    RemainingWork remainingWork() {
        return core.remainingWork();
    }

    /** Starts to run batches, beginning with those that are open in the store; control thread only. */
    void activate() {
        if (!active) {
            active = true;
            checks = Optional.of(Thread.ofVirtual().name("batch-check").start(this::checkPeriodically));
        }
    }

    /** Stops running batches; control thread only. */
    void deactivate() {
        if (active) {
            active = false;
            checks.ifPresent(Thread::interrupt);
            handle(new BatchInput.SteppedDown());
        }
    }

    /** Ends the checks of the store. */
    @Override
    public void close() {
        checks.ifPresent(Thread::interrupt);
    }

    /** Reads from the store now which batches were opened or ended elsewhere. */
    void refresh() {
        Thread.ofVirtual().name("batch-refresh").start(check::run);
    }

    /** Ends a batch; any thread may call. */
    void end(BatchId batch) {
        gate.end(batch);
        context.loop().post(() -> handle(new BatchInput.End(batch)));
    }

    /**
     * Ends a batch whose end is not stored yet, now or when it is opened; control thread only.
     *
     * @return whether this node runs the batch
     */
    boolean stop(EndRequest request) {
        handle(new BatchInput.EndRequested(request));
        boolean known = core.team(request.batch()).equals(Optional.of(request.team()));
        if (known) {
            gate.end(request.batch());
        }
        return known;
    }

    // Does not depend on the control thread, which may be late.
    private void checkPeriodically() {
        try {
            while (true) {
                long nextMs = context.clock().nowMs() + StartGate.CHECK_PERIOD_MS;
                check();
                Thread.sleep(Math.max(0, nextMs - context.clock().nowMs()));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // Runs are withheld while there are no checks, so an unexpected failure must not end them.
    private void check() {
        try {
            check.run();
        } catch (RuntimeException e) {
            LOG.atSevere().withCause(e).log("check of the store failed unexpectedly; retrying at the next check");
        }
    }

    /** Passes the events that runs received since the last call to the core; control thread only. */
    void reportProgress() {
        if (active && !runs.isEmpty()) {
            Map<ItemRunId, List<Transcript.Event>> progress = new HashMap<>();
            runs.forEach((id, run) -> progress.put(id, run.events().takeNew()));
            handle(new BatchInput.Progress(progress));
        }
    }

    /** Passes an input to the core and executes its effects; control thread only. */
    void handle(BatchInput input) {
        if (input instanceof BatchInput.Open && !active) {
            return;
        }
        for (BatchEffect effect : core.on(context.clock().nowMs(), input)) {
            execute(effect);
        }
    }

    /** Answers a read on the control thread once there is a result or the wait has timed out. */
    void read(BatchId batch, TeamId team, int after, long waitMs, Consumer<ReadAnswer> answer) {
        long ticket = register(answer);
        handle(new BatchInput.Read(ticket, batch, team, after, waitMs));
    }

    /** Answers a read of an item's body on the control thread. */
    void readBody(BatchInput.ReadBody read, Consumer<ReadAnswer> answer) {
        handle(new BatchInput.ReadBody(register(answer), read.batch(), read.team(), read.item()));
    }

    private long register(Consumer<ReadAnswer> answer) {
        pendingReads.put(++lastReadTicket, answer);
        return lastReadTicket;
    }

    private void execute(BatchEffect effect) {
        switch (effect) {
            case BatchEffect.StartRun start -> start(start.run());
            case BatchEffect.StopRun stop -> {
                RunningThread run = runs.get(stop.run());
                if (run != null) {
                    run.thread().interrupt();
                }
            }
            case BatchEffect.StartScoring start -> scoreCalls.start(start.call());
            case BatchEffect.StopScoring stop -> scoreCalls.stop(stop.call());
            case BatchEffect.Store store ->
                context.store()
                        .run(
                                store.request(),
                                Priority.DECISION,
                                reply -> handle(new BatchInput.StoreReplied(store.tag(), reply)));
            case BatchEffect.Answer answer -> {
                Consumer<ReadAnswer> reader = pendingReads.remove(answer.ticket());
                if (reader != null) {
                    reader.accept(answer.answer());
                }
            }
            case BatchEffect.Observe observe ->
                dispatcher.observed(observe.endpoint(), observe.observation(), observe.team());
            case BatchEffect.Log entry -> log.write(entry.event());
        }
    }

    private void start(ItemRun run) {
        ReceivedEvents events = new ReceivedEvents();
        Thread thread = Thread.ofVirtual().name("item-run").unstarted(() -> run(run, events));
        runs.put(run.id(), new RunningThread(thread, events));
        thread.start();
    }

    private void run(ItemRun run, ReceivedEvents events) {
        RunOutcome outcome;
        try {
            outcome = hold.maySend(run.batch().id()) ? engines.run(run, events::add) : new RunOutcome.Withheld();
        } catch (InterruptedException e) {
            outcome = new RunOutcome.Stopped();
        } catch (RuntimeException e) {
            LOG.atSevere().withCause(e).log(
                    "run of item %s failed unexpectedly", run.item().id());
            outcome = new RunOutcome.Broken("unexpected failure", AttemptEnd.STOPPED);
        }
        runs.remove(run.id());
        RunOutcome result = outcome;
        context.loop().post(() -> handle(new BatchInput.RunEnded(run.id(), result, events.all())));
    }

    private void load(List<BatchHead> heads) {
        for (BatchHead head : heads) {
            boolean expired = context.wallClock().getAsLong() >= head.giveUpAtMs();
            if (active && !expired && !core.hasBatch(head.id()) && loading.add(head.id())) {
                Thread.ofVirtual().name("batch-load").start(() -> load(head));
            }
        }
    }

    private void load(BatchHead head) {
        try {
            List<BatchItem> items = stored.items(head);
            context.loop().post(() -> handle(new BatchInput.Open(head, items, false)));
        } catch (PlatformException | MalformedBatchException e) {
            LOG.atWarning()
                    .withCause(e)
                    .with(LogFields.BATCH, head.id().value())
                    .log("cannot read the items of a batch from the store; retrying after the next check");
        } finally {
            context.loop().post(() -> loading.remove(head.id()));
        }
    }
}

package org.magnoliabridge.daemon;

import com.google.common.flogger.FluentLogger;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.magnoliabridge.batch.BatchMessages;
import org.magnoliabridge.batch.BatchMessages.EndRequest;
import org.magnoliabridge.batch.Ending;
import org.magnoliabridge.batch.MalformedBatchException;
import org.magnoliabridge.batch.ReadAnswer;
import org.magnoliabridge.batch.StoredBatches;
import org.magnoliabridge.ids.BatchId;
import org.magnoliabridge.ids.ProcessName;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.telemetry.LogFields;

/**
 * Ends batches: stores their ends and tells the runner. An end that the store does not confirm in time is remembered
 * and retried after its caller has been answered; the runner stops the batch meanwhile.
 */
final class BatchEnds {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final long RETRY_DELAY_MS = 20;
    // Most ends are stored sooner; STOP_BATCH is sent for the others.
    private static final long TELL_UNSTORED_AFTER_MS = 100;
    // The runner may be replaced while an end is not stored.
    private static final long TELL_UNSTORED_PERIOD_MS = 1_000;
    // Each takes two threads and a store call a second.
    private static final int MAX_REMEMBERED = 512;
    // Requests to end batches that do not exist must not displace the ends of others.
    private static final int MAX_REMEMBERED_ABSENT = 128;

    private final GatewayContext context;
    private final BatchScheduler scheduler;
    private final StoredBatches stored;
    private final RunnerCalls runner;
    // Ends whose callers have been answered, and that are still retried.
    private final Set<EndRequest> remembered = ConcurrentHashMap.newKeySet();

    BatchEnds(
            GatewayContext context,
            PeerCalls peers,
            BatchScheduler scheduler,
            StoredBatches stored,
            RunnerCalls runner) {
        this.context = context;
        this.scheduler = scheduler;
        this.stored = stored;
        this.runner = runner;
        peers.serve(PeerCalls.Method.END_BATCH, this::onEnd);
        peers.serve(PeerCalls.Method.STOP_BATCH, this::onStop);
        context.metrics().gauge("batch.ends.unstored", () -> remembered::size);
    }

    /** Ends a batch; the end is carried out although its caller may get no confirmation by the deadline. */
    ReadAnswer end(BatchId batch, TeamId team, long deadlineMs) throws InterruptedException {
        EndRequest request = new EndRequest(batch, team);
        CompletableFuture<ReadAnswer> answer = new CompletableFuture<>();
        start(request, deadlineMs, answer);
        try {
            return answer.get(Math.max(1, deadlineMs - context.clock().nowMs()), TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            LOG.atWarning()
                    .with(LogFields.BATCH, batch.value())
                    .log("end of batch is not stored by the caller's deadline; retrying in the background");
        } catch (ExecutionException e) {
            LOG.atSevere().withCause(e).with(LogFields.BATCH, batch.value()).log("end of batch failed");
        }
        return new ReadAnswer.Unsure();
    }

    private void start(EndRequest request, long deadlineMs, CompletableFuture<ReadAnswer> answer) {
        CompletableFuture<Void> over = new CompletableFuture<>();
        Thread.ofVirtual().name("batch-end").start(() -> {
            try {
                store(request, deadlineMs, answer);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (MalformedBatchException | RuntimeException e) {
                LOG.atSevere()
                        .withCause(e)
                        .with(LogFields.BATCH, request.batch().value())
                        .log("end of batch cannot be stored");
            } finally {
                answer.complete(new ReadAnswer.Unsure());
                over.complete(null);
            }
        });
        Thread.ofVirtual().name("batch-stop").start(() -> tellWhileUnstored(request, answer, over));
    }

    private void store(EndRequest request, long deadlineMs, CompletableFuture<ReadAnswer> answer)
            throws MalformedBatchException, InterruptedException {
        long startMs = context.clock().nowMs();
        Ending ending = new Ending(request.batch(), request.team(), startMs);
        boolean inBackground = false;
        try {
            while (!ending.isDone(context.clock().nowMs())) {
                if (!stored.advance(ending)) {
                    Thread.sleep(RETRY_DELAY_MS);
                }
                if (ending.isStored()) {
                    notifyEnd(request.batch(), startMs);
                }
                ending.answer().ifPresent(answer::complete);
                boolean answered = answer.isDone() || context.clock().nowMs() >= deadlineMs;
                if (answered && !inBackground && !ending.isStored()) {
                    inBackground = remember(request, ending.answer().isPresent());
                    if (!inBackground) {
                        return;
                    }
                }
            }
        } finally {
            if (inBackground) {
                remembered.remove(request);
            }
        }
    }

    private boolean remember(EndRequest request, boolean absent) {
        if (remembered.size() >= (absent ? MAX_REMEMBERED_ABSENT : MAX_REMEMBERED)) {
            LOG.atWarning()
                    .with(LogFields.BATCH, request.batch().value())
                    .log("too many ends of batches are not stored; this one is not retried");
            return false;
        }
        // An earlier request to end the same batch may be retried already.
        return remembered.add(request);
    }

    private void tellWhileUnstored(
            EndRequest request, CompletableFuture<ReadAnswer> answer, CompletableFuture<Void> over) {
        try {
            Thread.sleep(TELL_UNSTORED_AFTER_MS);
            if (!over.isDone()) {
                // This node may be the runner, or become it.
                context.loop().post(() -> scheduler.stop(request));
            }
            boolean absentAndTold = false;
            while (!over.isDone() && !absentAndTold) {
                byte[] body = BatchMessages.pack(request);
                runner.tellOthers(PeerCalls.Method.STOP_BATCH, body);
                boolean accepted = runner.tell(PeerCalls.Method.STOP_BATCH, body, scheduler::isActive);
                absentAndTold = accepted && answer.isDone() && answer.resultNow() instanceof ReadAnswer.Missing;
                LOG.atInfo()
                        .with(LogFields.BATCH, request.batch().value())
                        .log("end of batch is not stored yet; told to the runner, acknowledged %b", accepted);
                Thread.sleep(TELL_UNSTORED_PERIOD_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // If the runner does not acknowledge the end, it finds it at its next check of the store.
    private void notifyEnd(BatchId batch, long startMs) {
        long confirmedAtMs = context.clock().nowMs();
        LOG.atInfo()
                .with(LogFields.BATCH, batch.value())
                .with(LogFields.AGE_MS, confirmedAtMs - startMs)
                .log("end of batch stored");
        // This node may be the runner, or become it.
        scheduler.end(batch);
        Thread.ofVirtual().name("batch-end-told").start(() -> {
            boolean acknowledged = runner.tell(PeerCalls.Method.END_BATCH, BatchMessages.pack(batch), () -> true);
            long tookMs = context.clock().nowMs() - confirmedAtMs;
            context.metrics().histogram("batch.end_ack_ms").update(tookMs);
            LOG.atInfo()
                    .with(LogFields.BATCH, batch.value())
                    .with(LogFields.AGE_MS, tookMs)
                    .log("end of batch told to the runner, acknowledged %b", acknowledged);
        });
    }

    private void onEnd(ProcessName from, byte[] body, Consumer<byte[]> answer) {
        try {
            scheduler.end(BatchMessages.batch(body));
            // Only the runner acknowledges, so that an end that reaches an earlier runner is sent again.
            if (scheduler.isActive()) {
                answer.accept(RunnerCalls.acknowledgement(true));
            }
        } catch (MalformedBatchException e) {
            LOG.atWarning().withCause(e).log("malformed request from a peer to end a batch");
        }
    }

    // The runner stores the end too, because the node that was asked for it may stop before it could.
    private void onStop(ProcessName from, byte[] body, Consumer<byte[]> answer) {
        try {
            EndRequest request = BatchMessages.endRequest(body);
            boolean known = scheduler.stop(request);
            answer.accept(RunnerCalls.acknowledgement(scheduler.isActive()));
            if (known && !remembered.contains(request)) {
                start(request, context.clock().nowMs(), new CompletableFuture<>());
            }
        } catch (MalformedBatchException e) {
            LOG.atWarning()
                    .withCause(e)
                    .with(LogFields.PEER, from.node().value())
                    .log("malformed request to stop a batch");
        }
    }
}

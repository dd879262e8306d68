package org.magnoliabridge.daemon;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.magnoliabridge.batch.Acceptance;
import org.magnoliabridge.batch.BatchHead;
import org.magnoliabridge.batch.BatchInput;
import org.magnoliabridge.batch.BatchItem;
import org.magnoliabridge.batch.BatchMessages;
import org.magnoliabridge.batch.BatchMessages.Offer;
import org.magnoliabridge.batch.BatchMessages.ReadRequest;
import org.magnoliabridge.batch.MalformedBatchException;
import org.magnoliabridge.batch.ReadAnswer;
import org.magnoliabridge.batch.StoredBatches;
import org.magnoliabridge.external.PlatformException;
import org.magnoliabridge.ids.BatchId;
import org.magnoliabridge.ids.ItemId;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.telemetry.LogFields;

/**
 * Serves batches to callers at any node: batches are accepted through the store; reads are answered by the runner or,
 * if it does not answer, from the store.
 */
final class ClusterBatchService implements BatchService {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    // A read from the runner times out after the requested wait plus this margin.
    private static final long READ_SLACK_MS = 300;
    private static final long RETRY_DELAY_MS = 20;
    // With READ_SLACK_MS less than callers wait in addition to the requested wait, 1.5 s.
    private static final long STORED_READ_MS = 1_000;
    private static final long READ_RETRY_MS = 100;
    // A node that asks the runner reads the store itself after READ_SLACK_MS.
    private static final long RUNNER_STORED_READ_MS = 200;

    private final GatewayContext context;
    private final RunnerCalls runner;
    private final BatchScheduler scheduler;
    private final StoredBatches stored;
    private final BatchEnds ends;

    private interface StoredRead {
        ReadAnswer run(BatchHead head, long endMs) throws PlatformException, MalformedBatchException;
    }

    ClusterBatchService(
            GatewayContext context, PeerCalls peers, BatchRole role, BatchScheduler scheduler, StoredBatches stored) {
        this.context = context;
        this.runner = new RunnerCalls(context, peers, role);
        this.scheduler = scheduler;
        this.stored = stored;
        this.ends = new BatchEnds(context, peers, scheduler, stored, runner);
        peers.serve(PeerCalls.Method.OFFER_BATCH, (from, body, answer) -> onOffer(body, answer));
        peers.serve(PeerCalls.Method.READ_BATCH, (from, body, answer) -> onRead(body, answer));
    }

    @Override
    public Submission submit(BatchHead head, List<BatchItem> items, long deadlineMs, Runnable done) {
        boolean offered = false;
        try {
            Acceptance acceptance = new Acceptance(head, items);
            Submission submission = submit(head, acceptance, deadlineMs);
            if (submission == Submission.ACCEPTED
                    && !acceptance.accepted().orElseThrow().ended()) {
                offered = true;
                Thread.ofVirtual().name("batch-offer").start(() -> offer(acceptance, items, done));
            }
            return submission;
        } finally {
            if (!offered) {
                done.run();
            }
        }
    }

    private Submission submit(BatchHead head, Acceptance acceptance, long deadlineMs) {
        try {
            while (acceptance.accepted().isEmpty() && context.clock().nowMs() < deadlineMs) {
                if (!stored.advance(acceptance)) {
                    Thread.sleep(RETRY_DELAY_MS);
                }
            }
        } catch (MalformedBatchException e) {
            LOG.atSevere().withCause(e).with(LogFields.BATCH, head.id().value()).log("stored batch head is malformed");
            return Submission.UNKNOWN;
        } catch (InterruptedException e) {
            // The node shuts down; the writes so far determine the answer.
            Thread.currentThread().interrupt();
        }
        if (acceptance.accepted().isEmpty()) {
            return acceptance.undecided() ? Submission.UNKNOWN : Submission.NOT_ACCEPTED;
        }
        boolean own = acceptance.accepted().get().team().equals(head.team());
        return own ? Submission.ACCEPTED : Submission.CONFLICT;
    }

    @Override
    public ReadAnswer read(BatchId batch, TeamId team, int after, long waitMs) throws InterruptedException {
        ReadRequest request = new ReadRequest(batch, team, after, waitMs, Optional.empty());
        ReadAnswer answer = askRunner(request);
        return answer instanceof ReadAnswer.Unsure ? readStored(batch, team, after, STORED_READ_MS) : answer;
    }

    @Override
    public ReadAnswer body(BatchId batch, TeamId team, ItemId item) throws InterruptedException {
        ReadAnswer answer = askRunner(new ReadRequest(batch, team, 0, 0, Optional.of(item)));
        return answer instanceof ReadAnswer.Unsure ? readStoredBody(batch, team, item) : answer;
    }

    @Override
    public ReadAnswer end(BatchId batch, TeamId team, long deadlineMs) throws InterruptedException {
        return ends.end(batch, team, deadlineMs);
    }

    // If all offers are lost, the runner finds the batch at its next check of the store.
    private void offer(Acceptance acceptance, List<BatchItem> items, Runnable done) {
        try {
            offer(acceptance.accepted().orElseThrow(), items, acceptance.createdHead());
        } finally {
            done.run();
        }
    }

    private void offer(BatchHead head, List<BatchItem> items, boolean newlyAccepted) {
        byte[] body = offerBody(head, items, newlyAccepted);
        Callable<Boolean> own = () -> {
            scheduler.handle(new BatchInput.Open(head, items, newlyAccepted));
            return scheduler.isActive();
        };
        if (!runner.tell(PeerCalls.Method.OFFER_BATCH, body, own)) {
            LOG.atWarning().with(LogFields.BATCH, head.id().value()).log("no runner acknowledged the batch offer");
        }
    }

    // The runner reads the items of a larger batch from the store.
    private static byte[] offerBody(BatchHead head, List<BatchItem> items, boolean newlyAccepted) {
        if (BatchMessages.minBytes(items) <= PeerCalls.MAX_BODY_BYTES) {
            byte[] withItems = BatchMessages.pack(new Offer(head, newlyAccepted, Optional.of(items)));
            if (withItems.length <= PeerCalls.MAX_BODY_BYTES) {
                return withItems;
            }
        }
        return BatchMessages.pack(new Offer(head, newlyAccepted, Optional.empty()));
    }

    private ReadAnswer askRunner(ReadRequest request) throws InterruptedException {
        Optional<NodeId> node = runner.runner();
        if (node.isEmpty()) {
            return new ReadAnswer.Unsure();
        }
        long startMs = context.clock().nowMs();
        ReadAnswer answer = runner.isSelf(node.get()) ? askOwnRunner(request) : askRunner(node.get(), request);
        return request.isOutdated(answer, context.clock().nowMs() - startMs) ? new ReadAnswer.Unsure() : answer;
    }

    private ReadAnswer askRunner(NodeId node, ReadRequest request) throws InterruptedException {
        Optional<byte[]> answer = runner.call(
                node, PeerCalls.Method.READ_BATCH, BatchMessages.pack(request), request.waitMs() + READ_SLACK_MS);
        try {
            return answer.isEmpty() ? new ReadAnswer.Unsure() : BatchMessages.answer(answer.get());
        } catch (MalformedBatchException e) {
            LOG.atWarning()
                    .withCause(e)
                    .with(LogFields.BATCH, request.batch().value())
                    .log("runner's answer to a batch read is malformed");
            return new ReadAnswer.Unsure();
        }
    }

    private ReadAnswer askOwnRunner(ReadRequest request) throws InterruptedException {
        CompletableFuture<ReadAnswer> answer = new CompletableFuture<>();
        context.loop().post(() -> serve(request, answer::complete));
        try {
            return answer.get(request.waitMs() + READ_SLACK_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            LOG.atWarning()
                    .withCause(e)
                    .with(LogFields.BATCH, request.batch().value())
                    .log("batch read from this node's own runner failed or timed out");
            return new ReadAnswer.Unsure();
        }
    }

    private void serve(ReadRequest request, Consumer<ReadAnswer> answer) {
        if (!scheduler.isActive()) {
            answer.accept(new ReadAnswer.Unsure());
        } else if (request.item().isPresent()) {
            scheduler.readBody(
                    new BatchInput.ReadBody(
                            0, request.batch(), request.team(), request.item().get()),
                    answer);
        } else {
            scheduler.read(request.batch(), request.team(), request.after(), request.waitMs(), answer);
        }
    }

    private ReadAnswer readStored(BatchId batch, TeamId team, int after, long limitMs) throws InterruptedException {
        return readStored(batch, team, limitMs, (head, endMs) -> stored.page(head, after, endMs));
    }

    private ReadAnswer readStoredBody(BatchId batch, TeamId team, ItemId item) throws InterruptedException {
        return readStored(
                batch,
                team,
                STORED_READ_MS,
                (head, endMs) -> stored.item(head, item)
                        .<ReadAnswer>map(i -> new ReadAnswer.Body(i.body()))
                        .orElseGet(ReadAnswer.Missing::new));
    }

    // The store may refuse single calls, and the reader has time for another one.
    private ReadAnswer readStored(BatchId batch, TeamId team, long limitMs, StoredRead read)
            throws InterruptedException {
        long endMs = context.clock().nowMs() + limitMs;
        while (true) {
            try {
                Optional<BatchHead> head = stored.head(batch);
                return head.isPresent() && head.get().team().equals(team)
                        ? read.run(head.get(), endMs)
                        : new ReadAnswer.Missing();
            } catch (PlatformException | MalformedBatchException e) {
                boolean retry =
                        e instanceof PlatformException && context.clock().nowMs() + READ_RETRY_MS < endMs;
                if (!retry) {
                    LOG.atWarning()
                            .withCause(e)
                            .with(LogFields.BATCH, batch.value())
                            .log("cannot read batch from the store");
                    return new ReadAnswer.Unsure();
                }
                Thread.sleep(READ_RETRY_MS);
            }
        }
    }

    private void onOffer(byte[] body, Consumer<byte[]> answer) {
        try {
            Offer offer = BatchMessages.offer(body);
            if (!scheduler.isActive()) {
                return;
            }
            if (offer.items().isPresent()) {
                scheduler.handle(new BatchInput.Open(offer.head(), offer.items().get(), offer.newlyAccepted()));
            } else {
                scheduler.refresh();
            }
            answer.accept(RunnerCalls.acknowledgement(true));
        } catch (MalformedBatchException e) {
            LOG.atWarning().withCause(e).log("malformed batch offer from a peer");
        }
    }

    // A batch that ended before this node became the runner is read here, where its segments are cached for all nodes.
    private void onRead(byte[] body, Consumer<byte[]> answer) {
        try {
            ReadRequest request = BatchMessages.read(body);
            Consumer<ReadAnswer> packed = result -> answer.accept(BatchMessages.pack(result));
            boolean onlyStored = scheduler.isActive() && !scheduler.runs(request.batch());
            if (onlyStored && request.item().isEmpty()) {
                Thread.ofVirtual().name("batch-read").start(() -> readStored(request, packed));
            } else {
                serve(request, packed);
            }
        } catch (MalformedBatchException e) {
            LOG.atWarning().withCause(e).log("malformed batch read from a peer");
        }
    }

    private void readStored(ReadRequest request, Consumer<ReadAnswer> answer) {
        try {
            answer.accept(readStored(request.batch(), request.team(), request.after(), RUNNER_STORED_READ_MS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

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
import org.magnoliabridge.batch.ItemResult;
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

    private final GatewayContext context;
    private final RunnerCalls runner;
    private final BatchScheduler scheduler;
    private final StoredBatches stored;
    private final BatchEnds ends;

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
    public Submission submit(BatchHead head, List<BatchItem> items, long deadlineMs) {
        Acceptance acceptance = new Acceptance(head, items);
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
            // The node stops. The caller is told what is known so far.
            Thread.currentThread().interrupt();
        }
        if (acceptance.accepted().isEmpty()) {
            return acceptance.undecided() ? Submission.UNKNOWN : Submission.NOT_ACCEPTED;
        }
        BatchHead accepted = acceptance.accepted().get();
        if (!accepted.team().equals(head.team())) {
            return Submission.CONFLICT;
        }
        if (!accepted.ended()) {
            Thread.ofVirtual().name("batch-offer").start(() -> offer(accepted, items, acceptance.createdHead()));
        }
        return Submission.ACCEPTED;
    }

    @Override
    public ReadAnswer read(BatchId batch, TeamId team, int after, long waitMs) throws InterruptedException {
        ReadRequest request = new ReadRequest(batch, team, after, waitMs, Optional.empty());
        ReadAnswer answer = askRunner(request);
        return answer instanceof ReadAnswer.Unsure ? readStored(batch, team, after) : answer;
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
    private void offer(BatchHead head, List<BatchItem> items, boolean newlyAccepted) {
        byte[] withItems = BatchMessages.pack(new Offer(head, newlyAccepted, Optional.of(items)));
        // The runner reads the items of a larger batch from the store.
        byte[] body = withItems.length <= PeerCalls.MAX_BODY_BYTES
                ? withItems
                : BatchMessages.pack(new Offer(head, newlyAccepted, Optional.empty()));
        Callable<Boolean> own = () -> {
            scheduler.handle(new BatchInput.Open(head, items, newlyAccepted));
            return scheduler.isActive();
        };
        if (!runner.tell(PeerCalls.Method.OFFER_BATCH, body, own)) {
            LOG.atWarning().with(LogFields.BATCH, head.id().value()).log("no runner acknowledged the batch offer");
        }
    }

    private ReadAnswer askRunner(ReadRequest request) throws InterruptedException {
        Optional<NodeId> node = runner.runner();
        if (node.isEmpty()) {
            return new ReadAnswer.Unsure();
        }
        if (runner.isSelf(node.get())) {
            return askOwnRunner(request);
        }
        Optional<byte[]> answer = runner.call(
                node.get(), PeerCalls.Method.READ_BATCH, BatchMessages.pack(request), request.waitMs() + READ_SLACK_MS);
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

    private ReadAnswer readStored(BatchId batch, TeamId team, int after) {
        try {
            Optional<BatchHead> head = stored.head(batch);
            if (head.isEmpty() || !head.get().team().equals(team)) {
                return new ReadAnswer.Missing();
            }
            List<ItemResult> results = stored.results(batch);
            return ReadAnswer.Results.page(head.get().items(), results, after);
        } catch (PlatformException | MalformedBatchException e) {
            LOG.atWarning().withCause(e).with(LogFields.BATCH, batch.value()).log("cannot read batch from the store");
            return new ReadAnswer.Unsure();
        }
    }

    private ReadAnswer readStoredBody(BatchId batch, TeamId team, ItemId item) {
        try {
            Optional<BatchHead> head = stored.head(batch);
            if (head.isEmpty() || !head.get().team().equals(team)) {
                return new ReadAnswer.Missing();
            }
            return stored.items(head.get()).stream()
                    .filter(i -> i.id().equals(item))
                    .findFirst()
                    .<ReadAnswer>map(i -> new ReadAnswer.Body(i.body()))
                    .orElseGet(ReadAnswer.Missing::new);
        } catch (PlatformException | MalformedBatchException e) {
            LOG.atWarning()
                    .withCause(e)
                    .with(LogFields.BATCH, batch.value())
                    .log("cannot read batch item from the store");
            return new ReadAnswer.Unsure();
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
                Thread.ofVirtual()
                        .name("batch-read")
                        .start(() -> packed.accept(readStored(request.batch(), request.team(), request.after())));
            } else {
                serve(request, packed);
            }
        } catch (MalformedBatchException e) {
            LOG.atWarning().withCause(e).log("malformed batch read from a peer");
        }
    }
}

package org.magnoliabridge.batch;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.PlatformException;
import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.external.StoreRunner;
import org.magnoliabridge.external.StoredObject;
import org.magnoliabridge.ids.BatchId;
import org.magnoliabridge.ids.ItemId;
import org.magnoliabridge.telemetry.LogFields;

/** Reads, accepts and ends batches in the object store; calls block. */
public final class StoredBatches {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final ObjectStore store;
    private final MonotonicClock clock;
    private final SegmentCache segments = new SegmentCache();

    public StoredBatches(ObjectStore store, MonotonicClock clock) {
        this.store = Objects.requireNonNull(store);
        this.clock = Objects.requireNonNull(clock);
    }

    /** Returns the heads of all batches; one that cannot be decoded is logged and left out. */
    public List<BatchHead> heads() throws PlatformException {
        List<BatchHead> heads = new ArrayList<>();
        for (ObjectStore.Entry entry : store.list(BatchKeys.HEADS).entries()) {
            Optional<StoredObject> object = entry.object().isPresent() ? entry.object() : store.read(entry.key());
            object.flatMap(o -> decodeHead(entry.key(), o)).ifPresent(heads::add);
        }
        return heads;
    }

    private static Optional<BatchHead> decodeHead(ObjectKey key, StoredObject object) {
        try {
            return Optional.of(BatchCodec.head(object.value()));
        } catch (MalformedBatchException e) {
            LOG.atWarning().withCause(e).log("stored batch head %s is malformed", key);
            return Optional.empty();
        }
    }

    /** Returns the head of a batch, or empty if no such batch was accepted. */
    public Optional<BatchHead> head(BatchId batch) throws PlatformException, MalformedBatchException {
        Optional<StoredObject> object = store.read(BatchKeys.head(batch));
        return object.isEmpty()
                ? Optional.empty()
                : Optional.of(BatchCodec.head(object.get().value()));
    }

    /** Returns the items of a batch in the order of its submission. */
    public List<BatchItem> items(BatchHead head) throws PlatformException, MalformedBatchException {
        List<BatchItem> items = new ArrayList<>();
        for (int part = 0; part < head.parts(); part++) {
            items.addAll(part(head, part));
        }
        return items;
    }

    /** Returns one item of a batch, or empty if the batch has no such item; holds one part of the batch at a time. */
    public Optional<BatchItem> item(BatchHead head, ItemId id) throws PlatformException, MalformedBatchException {
        Optional<BatchItem> found = Optional.empty();
        for (int part = 0; part < head.parts() && found.isEmpty(); part++) {
            found = part(head, part).stream().filter(i -> i.id().equals(id)).findFirst();
        }
        return found;
    }

    private List<BatchItem> part(BatchHead head, int part) throws PlatformException, MalformedBatchException {
        StoredObject object = store.read(BatchKeys.items(head.id(), part))
                .orElseThrow(
                        () -> new MalformedBatchException("batch " + head.id() + " is missing a part of its items"));
        return BatchCodec.items(object.value());
    }

    /**
     * Returns the committed results from a position on that fit into one answer.
     *
     * <p>The log is read no further than the answer needs. If the reader's time is over or a segment cannot be read,
     * the answer has the results that precede it.
     *
     * @param endMs when the reader's time is over
     * @throws PlatformException if it could not be determined whether there is a result at the position
     */
    public ReadAnswer.Results page(BatchHead head, int after, long endMs)
            throws PlatformException, MalformedBatchException {
        CommittedResults committed = new CommittedResults();
        ResultPage page = new ResultPage(after);
        if (segments.find(BatchKeys.results(head.id(), 0)).isEmpty()) {
            cacheSegments(head.id());
        }
        try {
            int number = 0;
            Optional<List<ItemResult>> segment = Optional.of(List.of());
            while (segment.isPresent() && !page.isFull() && committed.list().size() < head.items()) {
                segment = segment(head.id(), number++, endMs);
                segment.ifPresent(committed::add);
                page.extend(committed.list());
            }
        } catch (PlatformException | MalformedBatchException e) {
            if (page.results().isEmpty()) {
                throw e;
            }
            LOG.atInfo()
                    .withCause(e)
                    .with(LogFields.BATCH, head.id().value())
                    .log("cannot read the results of a batch to the end");
        }
        return new ReadAnswer.Results(head.items(), page.results());
    }

    private Optional<List<ItemResult>> segment(BatchId batch, int number, long endMs)
            throws PlatformException, MalformedBatchException {
        ObjectKey key = BatchKeys.results(batch, number);
        Optional<List<ItemResult>> cached = segments.find(key);
        if (cached.isPresent()) {
            return cached;
        }
        long startMs = clock.nowMs();
        if (startMs >= endMs) {
            throw new PlatformException.Unavailable("the reader's time is over", null);
        }
        Optional<StoredObject> object = store.read(key);
        if (object.isEmpty()) {
            requireCurrent(startMs);
            return Optional.empty();
        }
        List<ItemResult> results = BatchCodec.segment(object.get().value()).results();
        segments.put(key, results);
        return Optional.of(results);
    }

    // Load pattern: after a change of the runner, or a restart of all nodes, readers ask for logs of dozens of segments
    // that no node has cached. A listing has many of them for the price of a fraction of a call. A stored segment never
    // changes, so an old listing is as good as a new one; what it lacks is read.
    private void cacheSegments(BatchId batch) {
        try {
            for (ObjectStore.Entry entry :
                    store.nextStale(BatchKeys.beforeResults(batch)).entries()) {
                if (BatchKeys.isResultsOf(batch, entry.key()) && entry.object().isPresent()) {
                    segments.put(
                            entry.key(),
                            BatchCodec.segment(entry.object().get().value()).results());
                }
            }
        } catch (PlatformException | MalformedBatchException e) {
            LOG.atInfo()
                    .withCause(e)
                    .with(LogFields.BATCH, batch.value())
                    .log("cannot list the segments of a batch; reading them one by one");
        }
    }

    // The segment may have been stored, and its results read at other nodes, while the answer was on its way.
    private void requireCurrent(long startMs) throws PlatformException.Unavailable {
        long ageMs = clock.nowMs() - startMs;
        if (ageMs > PendingReads.MAX_AGE_MS) {
            throw new PlatformException.Unavailable(
                    "the store answered that there is no result after " + ageMs + " ms", null);
        }
    }

    /**
     * Performs the next store request of a task.
     *
     * @return false if there is none now, because of a retry delay or because nothing is left to do
     */
    public boolean advance(StoreTask task) throws MalformedBatchException {
        Optional<StoreRequest> request = task.next(clock.nowMs());
        if (request.isEmpty()) {
            return false;
        }
        task.reply(clock.nowMs(), StoreRunner.perform(store, request.get()));
        return true;
    }
}

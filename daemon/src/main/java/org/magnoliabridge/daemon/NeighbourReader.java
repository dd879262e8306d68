package org.magnoliabridge.daemon;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.PlatformException;
import org.magnoliabridge.external.RecentChanges;
import org.magnoliabridge.external.StoreMessages;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoredObject;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.ProcessName;
import org.magnoliabridge.telemetry.LogFields;

/**
 * An object store whose changes are read from a neighbour that reads them from the store, to save calls to the store.
 *
 * <p>If there is no neighbour, or it does not answer or has not read the store recently, the store itself is read, and
 * the neighbour is not asked for some time.
 */
final class NeighbourReader implements ObjectStore {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    // A neighbour in the same data centre answers within a few milliseconds unless it is overloaded.
    private static final long ANSWER_LIMIT_MS = 200;
    private static final long RETRY_NEIGHBOUR_MS = 3_000;
    // Reads are recorded only while other nodes ask. Longer than RETRY_NEIGHBOUR_MS, after which they ask again.
    private static final long RECORD_AFTER_CALL_MS = 10_000;

    private final ObjectStore store;
    private final Calls calls;
    private final Supplier<Optional<NodeId>> neighbour;
    private final RecentChanges recent;
    private final Times times;
    private final MonotonicClock clock;
    private final MetricRegistry metrics;
    private volatile long askAgainAtMs = Long.MIN_VALUE;
    private volatile long recordUntilMs = Long.MIN_VALUE;

    /**
     * Times of a reader, in milliseconds.
     *
     * @param maxAgeMs highest age of what a neighbour passes on; longer than the pause between two reads of the store,
     *     and than a read that waits
     * @param maxWaitMs longest wait of a read of the store that other nodes depend on
     * @param pauseMs time between two questions to a neighbour while nothing changes
     */
    record Times(long maxAgeMs, long maxWaitMs, long pauseMs) {}

    /** Makes calls to a neighbour. */
    interface Calls {
        /** Returns the packed result of a packed watch call. */
        byte[] call(NodeId neighbour, byte[] call, long timeoutMs) throws ExecutionException, InterruptedException;
    }

    /**
     * Creates a reader.
     *
     * @param neighbour the node to read changes from; empty to read the store
     * @param recent records what this node reads from the store itself
     */
    NeighbourReader(
            ObjectStore store,
            Calls calls,
            Supplier<Optional<NodeId>> neighbour,
            RecentChanges recent,
            Times times,
            MonotonicClock clock,
            MetricRegistry metrics) {
        this.store = store;
        this.calls = calls;
        this.neighbour = neighbour;
        this.recent = recent;
        this.times = times;
        this.clock = clock;
        this.metrics = metrics;
    }

    /** Answers a neighbour's call with the changes that this node has read from the store. */
    void answer(ProcessName from, byte[] call, Consumer<byte[]> answer) {
        recordUntilMs = clock.nowMs() + RECORD_AFTER_CALL_MS;
        try {
            if (StoreMessages.call(call) instanceof StoreMessages.Call.Watch watch) {
                StoreReply reply = recent.since(clock.nowMs(), watch.sinceRevision(), times.maxAgeMs())
                        .<StoreReply>map(StoreReply.Listed::new)
                        .orElseGet(StoreReply.Unavailable::new);
                answer.accept(bounded(StoreMessages.pack(new StoreMessages.Result.Replied(reply))));
                return;
            }
            LOG.atWarning()
                    .with(LogFields.PEER, from.node().value())
                    .log("expected a watch call, found another store call");
        } catch (PlatformException.Malformed e) {
            LOG.atWarning()
                    .withCause(e)
                    .with(LogFields.PEER, from.node().value())
                    .log("malformed watch call");
        }
    }

    private static byte[] bounded(byte[] packed) {
        return packed.length <= PeerCalls.MAX_BODY_BYTES
                ? packed
                : StoreMessages.pack(new StoreMessages.Result.Replied(new StoreReply.Unavailable()));
    }

    @Override
    public Listing list(String prefix) throws PlatformException {
        long startMs = clock.nowMs();
        Listing all = store.list(prefix);
        if (startMs < recordUntilMs) {
            recent.listed(startMs, all);
        }
        return all;
    }

    @Override
    public Listing watch(String prefix, long sinceRevision, long waitMs) throws PlatformException {
        Optional<NodeId> node = clock.nowMs() < askAgainAtMs ? Optional.empty() : neighbour.get();
        if (node.isPresent()) {
            Optional<Listing> changes = ask(node.get(), prefix, sinceRevision);
            if (changes.isPresent()) {
                metrics.counter("store.watches.neighbour").inc();
                pauseIfUnchanged(changes.get(), waitMs);
                return changes.get();
            }
            metrics.counter("store.watches.neighbour_failures").inc();
            askAgainAtMs = clock.nowMs() + RETRY_NEIGHBOUR_MS;
        }
        return readStore(prefix, sinceRevision, waitMs);
    }

    private Listing readStore(String prefix, long sinceRevision, long waitMs) throws PlatformException {
        long startMs = clock.nowMs();
        if (startMs >= recordUntilMs) {
            return store.watch(prefix, sinceRevision, waitMs);
        }
        // Others depend on a read that ends soon, also while nothing changes.
        long shortWaitMs = Math.min(waitMs, times.maxWaitMs());
        Listing changes = store.watch(prefix, sinceRevision, shortWaitMs);
        // Without a change the store has waited before it answered.
        long asOfMs = changes.entries().isEmpty() ? startMs + shortWaitMs : startMs;
        recent.changed(Math.min(asOfMs, clock.nowMs()), sinceRevision, changes);
        return changes;
    }

    @Override
    public Optional<StoredObject> read(ObjectKey key) throws PlatformException {
        return store.read(key);
    }

    @Override
    public long write(ObjectKey key, long expectedVersion, byte[] value) throws PlatformException {
        return store.write(key, expectedVersion, value);
    }

    @Override
    public void delete(ObjectKey key, long expectedVersion) throws PlatformException {
        store.delete(key, expectedVersion);
    }

    private Optional<Listing> ask(NodeId node, String prefix, long sinceRevision) throws PlatformException {
        byte[] call = StoreMessages.pack(new StoreMessages.Call.Watch(prefix, sinceRevision, 0));
        try {
            StoreMessages.Result result = StoreMessages.result(calls.call(node, call, ANSWER_LIMIT_MS));
            return result instanceof StoreMessages.Result.Replied replied
                            && replied.reply() instanceof StoreReply.Listed listed
                    ? Optional.of(listed.listing())
                    : Optional.empty();
        } catch (ExecutionException | PlatformException.Malformed e) {
            LOG.atInfo()
                    .atMostEvery(1, TimeUnit.SECONDS)
                    .withCause(e)
                    .with(LogFields.PEER, node.value())
                    .log("cannot read changes from a neighbour; reading the store");
            return Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new PlatformException.Unavailable("interrupted while a neighbour is asked", e);
        }
    }

    private void pauseIfUnchanged(Listing changes, long waitMs) {
        if (changes.entries().isEmpty()) {
            try {
                Thread.sleep(Math.min(waitMs, times.pauseMs()));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}

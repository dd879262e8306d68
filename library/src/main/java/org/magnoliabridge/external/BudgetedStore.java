package org.magnoliabridge.external;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import org.magnoliabridge.external.StoreRequest.Priority;

/**
 * An object store that limits what one process asks of the object API.
 *
 * <p>At most a fixed number of calls are open at once, and calls of a higher priority go first. Identical reads that
 * wait at the same time become one call. Every call ends at its deadline: a read and a call that was still waiting with
 * {@link PlatformException.Unavailable}, a write that was sent with {@link PlatformException.OutcomeUnknown}. Watches
 * are counted but take no permit, because they wait for most of their time.
 *
 * <pre>{@code
 * BudgetedStore budget = new BudgetedStore(new HttpObjectStore(...), 16, 2_000, metrics);
 * ObjectStore leases = budget.at(Priority.LEASE);
 * }</pre>
 */
public final class BudgetedStore {
    // A watch ends at its wait at the latest; past this slack it has gone silent.
    private static final long WATCH_SLACK_MS = 2_000;
    // A running read that takes longer does not hold up the next one: its connection may have gone silent.
    private static final long WAIT_FOR_RUNNING_READ_MS = 200;

    private final ObjectStore store;
    private final CallBudget budget;
    private final long deadlineMs;
    private final MetricRegistry metrics;
    private final ReadCoalescer reads;
    private final AtomicInteger openWatches = new AtomicInteger();

    /**
     * Creates a limited store.
     *
     * @param maxCalls calls open at once, without watches
     * @param deadlineMs longest duration of a call including its wait for a permit, in milliseconds
     */
    public BudgetedStore(ObjectStore store, int maxCalls, long deadlineMs, MetricRegistry metrics) {
        this(store, maxCalls, deadlineMs, metrics, new ReadCoalescer(WAIT_FOR_RUNNING_READ_MS));
    }

    BudgetedStore(ObjectStore store, int maxCalls, long deadlineMs, MetricRegistry metrics, ReadCoalescer reads) {
        if (deadlineMs < 1) {
            throw new IllegalArgumentException("deadline must be at least 1 ms");
        }
        this.store = Objects.requireNonNull(store);
        this.budget = new CallBudget(maxCalls);
        this.deadlineMs = deadlineMs;
        this.metrics = Objects.requireNonNull(metrics);
        this.reads = reads;
        metrics.gauge("store.watches.open", () -> openWatches::get);
        metrics.gauge("store.calls.waiting", () -> budget::waiting);
    }

    /** Returns a view whose calls have the given priority. */
    public ObjectStore at(Priority priority) {
        return new View(priority);
    }

    private <T> T call(String kind, Priority priority, boolean write, long limitNanos, Callable<T> task)
            throws PlatformException {
        CompletableFuture<Void> permit = budget.acquire(priority);
        try {
            permit.get(remaining(limitNanos), TimeUnit.NANOSECONDS);
        } catch (TimeoutException | ExecutionException | InterruptedException e) {
            cancelOrRelease(permit);
            restoreInterrupt(e);
            metrics.counter("store.calls." + kind + ".refused").inc();
            throw new PlatformException.Unavailable(kind + " waited past its deadline for a permit", e);
        }
        return await(kind, write, limitNanos, start(kind, task, budget::release));
    }

    private void cancelOrRelease(CompletableFuture<Void> permit) {
        if (!permit.cancel(false)) {
            budget.release();
        }
    }

    // The call runs on its own thread, so that a call that hangs cannot hold its caller past the deadline. The permit
    // is held until the call itself ends, which keeps the number of open calls bounded.
    private <T> CompletableFuture<T> start(String kind, Callable<T> task, Runnable atEnd) {
        CompletableFuture<T> result = new CompletableFuture<>();
        metrics.counter("store.calls." + kind).inc();
        Thread.ofVirtual().name("store-" + kind).start(() -> {
            Timer.Context timed = metrics.timer("store.time." + kind).time();
            try {
                result.complete(task.call());
            } catch (Exception e) {
                result.completeExceptionally(e);
            } finally {
                timed.stop();
                atEnd.run();
            }
        });
        return result;
    }

    private <T> T await(String kind, boolean write, long limitNanos, CompletableFuture<T> result)
            throws PlatformException {
        try {
            return result.get(remaining(limitNanos), TimeUnit.NANOSECONDS);
        } catch (ExecutionException e) {
            metrics.counter("store.failures." + kind).inc();
            throw failure(kind, write, e.getCause());
        } catch (TimeoutException | InterruptedException e) {
            restoreInterrupt(e);
            metrics.counter("store.timeouts." + kind).inc();
            throw failure(kind, write, e);
        }
    }

    private static PlatformException failure(String kind, boolean write, Throwable cause) {
        if (cause instanceof PlatformException known) {
            return known;
        }
        return write
                ? new PlatformException.OutcomeUnknown(kind + " got no answer in time", cause)
                : new PlatformException.Unavailable(kind + " got no answer in time", cause);
    }

    private static void restoreInterrupt(Exception e) {
        if (e instanceof InterruptedException) {
            Thread.currentThread().interrupt();
        }
    }

    private static long remaining(long limitNanos) {
        return Math.max(1, limitNanos - System.nanoTime());
    }

    private static long deadlineAfter(long ms) {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
    }

    private final class View implements ObjectStore {
        private final Priority priority;

        View(Priority priority) {
            this.priority = Objects.requireNonNull(priority);
        }

        @Override
        public Optional<StoredObject> read(ObjectKey key) throws PlatformException {
            long limit = deadlineAfter(deadlineMs);
            CompletableFuture<Optional<StoredObject>> shared = reads.join(
                    priority + " " + key,
                    () -> call("read", priority, false, limit, () -> store.read(key)),
                    metrics.counter("store.reads.shared"));
            return await("read", false, limit, shared);
        }

        @Override
        public long write(ObjectKey key, long expectedVersion, byte[] value) throws PlatformException {
            return call(
                    "write", priority, true, deadlineAfter(deadlineMs), () -> store.write(key, expectedVersion, value));
        }

        @Override
        public void delete(ObjectKey key, long expectedVersion) throws PlatformException {
            call("delete", priority, true, deadlineAfter(deadlineMs), () -> {
                store.delete(key, expectedVersion);
                return true;
            });
        }

        @Override
        public Listing list(String prefix) throws PlatformException {
            return call("list", priority, false, deadlineAfter(deadlineMs), () -> store.list(prefix));
        }

        @Override
        public Listing watch(String prefix, long sinceRevision, long waitMs) throws PlatformException {
            openWatches.incrementAndGet();
            CompletableFuture<Listing> result =
                    start("watch", () -> store.watch(prefix, sinceRevision, waitMs), openWatches::decrementAndGet);
            return await("watch", false, deadlineAfter(waitMs + WATCH_SLACK_MS), result);
        }
    }
}

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
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.external.StoreRequest.Priority;

/**
 * Limits the concurrency and the duration of one process's calls to the object API.
 *
 * <p>At most a fixed number of calls are open at once, and calls of a higher priority go first. Identical reads that
 * wait at the same time share one call. A call that has not ended by its deadline fails: a read, or a call that has not
 * begun and is never sent, with {@link PlatformException.Unavailable}; a write that has begun, with {@link
 * PlatformException.OutcomeUnknown}. Watches are counted but take no permit, because they are idle most of the time.
 *
 * <pre>{@code
 * BudgetedStore budget = new BudgetedStore(new HttpObjectStore(...), 16, 2_000, metrics);
 * ObjectStore leases = budget.at(Priority.LEASE);
 * }</pre>
 */
public final class BudgetedStore {
    // The store answers a watch by the end of its wait; a watch without an answer after this slack is timed out.
    private static final long WATCH_SLACK_MS = 2_000;
    // The next read does not wait longer than this for the running one, whose connection may be unresponsive.
    private static final long WAIT_FOR_RUNNING_READ_MS = 200;

    private final ObjectStore store;
    private final CallBudget budget;
    private final long deadlineMs;
    private final MetricRegistry metrics;
    private final ReadCoalescer reads;
    private final MonotonicClock clock;
    private final Threads threads;
    private final AtomicInteger openWatches = new AtomicInteger();

    /** Runs each call on a thread of its own. */
    interface Threads {
        /** Starts a virtual thread for each call. */
        Threads VIRTUAL = (name, call) -> Thread.ofVirtual().name(name).start(call);

        void start(String name, Runnable call);
    }

    /**
     * Creates a budgeted store.
     *
     * @param maxCalls calls open at once, without watches
     * @param deadlineMs longest duration of a call including its wait for a permit, in milliseconds
     */
    public BudgetedStore(ObjectStore store, int maxCalls, long deadlineMs, MetricRegistry metrics) {
        this(
                store,
                maxCalls,
                deadlineMs,
                metrics,
                new ReadCoalescer(WAIT_FOR_RUNNING_READ_MS),
                MonotonicClock.system(),
                Threads.VIRTUAL);
    }

    BudgetedStore(
            ObjectStore store,
            int maxCalls,
            long deadlineMs,
            MetricRegistry metrics,
            ReadCoalescer reads,
            MonotonicClock clock,
            Threads threads) {
        if (deadlineMs < 1) {
            throw new IllegalArgumentException("deadline must be at least 1 ms, got " + deadlineMs + " ms");
        }
        this.store = Objects.requireNonNull(store);
        this.budget = new CallBudget(maxCalls);
        this.deadlineMs = deadlineMs;
        this.metrics = Objects.requireNonNull(metrics);
        this.reads = reads;
        this.clock = clock;
        this.threads = threads;
        metrics.gauge("store.watches.open", () -> openWatches::get);
        metrics.gauge("store.calls.waiting", () -> budget::waiting);
    }

    /** Returns a view whose calls have the given priority. */
    public ObjectStore at(Priority priority) {
        return new View(priority, () -> endAfter(deadlineMs));
    }

    /** Returns a view for a call whose deadline counts from now, however late the call is made. */
    ObjectStore fromNow(Priority priority) {
        long endMs = endAfter(deadlineMs);
        return new View(priority, () -> endMs);
    }

    private <T> T call(String kind, Priority priority, boolean write, long endMs, Callable<T> task)
            throws PlatformException {
        CompletableFuture<Void> permit = budget.acquire(priority);
        try {
            permit.get(remaining(endMs), TimeUnit.MILLISECONDS);
        } catch (TimeoutException | ExecutionException | InterruptedException e) {
            cancelOrRelease(permit);
            restoreInterrupt(e);
            metrics.counter("store.calls." + kind + ".refused").inc();
            throw new PlatformException.Unavailable(kind + " waited past its deadline for a permit", e);
        }
        return run(kind, write, endMs, task, budget::release);
    }

    private void cancelOrRelease(CompletableFuture<Void> permit) {
        if (!permit.cancel(false)) {
            budget.release();
        }
    }

    // Runs the call on its own thread, so that a call that hangs does not block its caller past the deadline. The
    // permit is held until the call itself ends, which bounds the number of open calls.
    private <T> T run(String kind, boolean write, long endMs, Callable<T> task, Runnable onEnd)
            throws PlatformException {
        CompletableFuture<T> result = new CompletableFuture<>();
        CallStart start = new CallStart(clock, endMs, () -> {
            metrics.counter("store.calls." + kind + ".refused").inc();
            onEnd.run();
            result.completeExceptionally(notBegun(kind, null));
        });
        threads.start("store-" + kind, () -> {
            if (start.begin()) {
                perform(kind, task, onEnd, result);
            }
        });
        return await(kind, write, endMs, result, start::giveUp);
    }

    private <T> void perform(String kind, Callable<T> task, Runnable onEnd, CompletableFuture<T> result) {
        metrics.counter("store.calls." + kind).inc();
        Timer.Context timed = metrics.timer("store.time." + kind).time();
        try {
            result.complete(task.call());
        } catch (Exception e) {
            result.completeExceptionally(e);
        } finally {
            timed.stop();
            onEnd.run();
        }
    }

    // At the end of the wait, giveUp tells whether the call never begins.
    private <T> T await(String kind, boolean write, long endMs, CompletableFuture<T> result, BooleanSupplier giveUp)
            throws PlatformException {
        try {
            return result.get(remaining(endMs), TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            if (giveUp.getAsBoolean()) {
                throw notBegun(kind, e);
            }
            metrics.counter("store.failures." + kind).inc();
            throw failure(kind, write, e.getCause());
        } catch (TimeoutException | InterruptedException e) {
            restoreInterrupt(e);
            if (giveUp.getAsBoolean()) {
                throw notBegun(kind, e);
            }
            metrics.counter("store.timeouts." + kind).inc();
            throw failure(kind, write, e);
        }
    }

    private static PlatformException.Unavailable notBegun(String kind, Exception cause) {
        return new PlatformException.Unavailable(kind + " was given up before it began", cause);
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

    private long remaining(long endMs) {
        return Math.max(1, endMs - clock.nowMs());
    }

    private long endAfter(long ms) {
        return clock.nowMs() + ms;
    }

    private final class View implements ObjectStore {
        private final Priority priority;
        private final LongSupplier end;

        View(Priority priority, LongSupplier end) {
            this.priority = Objects.requireNonNull(priority);
            this.end = end;
        }

        @Override
        public Optional<StoredObject> read(ObjectKey key) throws PlatformException {
            long endMs = end.getAsLong();
            if (clock.nowMs() >= endMs) {
                // Readers with time left could join this read, which would not be sent.
                metrics.counter("store.calls.read.refused").inc();
                throw notBegun("read", null);
            }
            CompletableFuture<Optional<StoredObject>> shared = reads.join(
                    priority + " " + key,
                    () -> call("read", priority, false, endMs, () -> store.read(key)),
                    metrics.counter("store.reads.shared"));
            // The call is given up by the reader that makes it.
            return await("read", false, endMs, shared, () -> false);
        }

        @Override
        public long write(ObjectKey key, long expectedVersion, byte[] value) throws PlatformException {
            return call("write", priority, true, end.getAsLong(), () -> store.write(key, expectedVersion, value));
        }

        @Override
        public void delete(ObjectKey key, long expectedVersion) throws PlatformException {
            call("delete", priority, true, end.getAsLong(), () -> {
                store.delete(key, expectedVersion);
                return true;
            });
        }

        @Override
        public Listing list(String prefix) throws PlatformException {
            return call("list", priority, false, end.getAsLong(), () -> store.list(prefix));
        }

        @Override
        public Listing listStale(String prefix) throws PlatformException {
            return call("list", priority, false, end.getAsLong(), () -> store.listStale(prefix));
        }

        @Override
        public Listing nextStale(ObjectKey after) throws PlatformException {
            return call("list", priority, false, end.getAsLong(), () -> store.nextStale(after));
        }

        @Override
        public Listing watch(String prefix, long sinceRevision, long waitMs) throws PlatformException {
            openWatches.incrementAndGet();
            return run(
                    "watch",
                    false,
                    endAfter(waitMs + WATCH_SLACK_MS),
                    () -> store.watch(prefix, sinceRevision, waitMs),
                    openWatches::decrementAndGet);
        }
    }
}

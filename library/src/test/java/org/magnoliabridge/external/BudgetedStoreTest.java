package org.magnoliabridge.external;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.external.StoreRequest.Priority;

@Timeout(20)
class BudgetedStoreTest {
    private static final ObjectKey KEY = new ObjectKey("leases/orders");
    private final MetricRegistry metrics = new MetricRegistry();

    /** A store whose calls block until the gate is opened. */
    private static final class Gated extends MemoryStore {
        private final List<String> calls = Collections.synchronizedList(new ArrayList<>());
        private final CountDownLatch gate = new CountDownLatch(1);

        private void pass(String call) {
            calls.add(call);
            try {
                gate.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        @Override
        public Optional<StoredObject> read(ObjectKey key) throws PlatformException {
            pass("read " + key);
            return super.read(key);
        }

        @Override
        public long write(ObjectKey key, long expectedVersion, byte[] value) throws PlatformException {
            pass("write " + key);
            return super.write(key, expectedVersion, value);
        }

        @Override
        public Listing watch(String prefix, long sinceRevision, long waitMs) throws PlatformException {
            pass("watch " + prefix);
            return super.watch(prefix, sinceRevision, waitMs);
        }
    }

    /** Guards against a lease renewal that waits behind status reads while the object API is slow. */
    @Test
    void higherPriorityGoesFirst() throws Exception {
        Gated store = new Gated();
        BudgetedStore budget = new BudgetedStore(store, 1, 10_000, metrics);
        try (ExecutorService pool = Executors.newVirtualThreadPerTaskExecutor()) {
            Future<?> first = pool.submit(read(budget, Priority.STATUS, "a"));
            await(() -> store.calls.size() == 1);
            Future<?> status = pool.submit(read(budget, Priority.STATUS, "b"));
            await(() -> waiting() == 1);
            Future<?> lease = pool.submit(read(budget, Priority.LEASE, "c"));
            await(() -> waiting() == 2);
            store.gate.countDown();
            first.get();
            status.get();
            lease.get();
        }
        assertThat(store.calls, contains("read a", "read c", "read b"));
    }

    /** Guards against many identical reads that use up the object API's rate. */
    @Test
    void identicalReadsAreShared() throws Exception {
        Gated store = new Gated();
        BudgetedStore budget = new BudgetedStore(
                store,
                8,
                10_000,
                metrics,
                new ReadCoalescer(10_000),
                MonotonicClock.system(),
                (name, call) -> Thread.ofVirtual().start(call));
        try (ExecutorService pool = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<Optional<StoredObject>>> reads = new ArrayList<>();
            reads.add(pool.submit(read(budget, Priority.STATUS, "a")));
            await(() -> store.calls.size() == 1);
            for (int i = 0; i < 49; i++) {
                reads.add(pool.submit(read(budget, Priority.STATUS, "a")));
            }
            // One read is sent, one waits for it to end, and the other 48 share the waiting one.
            await(() -> metrics.counter("store.reads.shared").getCount() == 48);
            store.gate.countDown();
            for (Future<Optional<StoredObject>> read : reads) {
                assertThat(read.get(), is(Optional.empty()));
            }
        }
        assertThat(store.calls, contains("read a", "read a"));
    }

    /** Guards against an unresponsive connection that blocks its caller, and against reporting its write as not run. */
    @Test
    void everyCallEndsAtItsDeadline() {
        Gated store = new Gated();
        // The clock stands still and each call has reached the store before its caller waits, so that neither the
        // order of the calls nor their outcome depends on how soon their threads run.
        AtomicInteger started = new AtomicInteger();
        BudgetedStore.Threads threads = (name, call) -> {
            Thread.ofVirtual().start(call);
            int calls = started.incrementAndGet();
            while (store.calls.size() < calls) {
                LockSupport.parkNanos(100_000);
            }
        };
        ObjectStore silent =
                new BudgetedStore(store, 2, 50, metrics, new ReadCoalescer(50), () -> 0, threads).at(Priority.DECISION);
        assertThrows(PlatformException.OutcomeUnknown.class, () -> silent.write(KEY, 0, new byte[0]));
        assertThrows(PlatformException.Unavailable.class, () -> silent.read(KEY));
        // Both permits are still held by the unanswered calls, so this one is never sent.
        assertThrows(PlatformException.Unavailable.class, () -> silent.write(KEY, 0, new byte[0]));
        assertThat(store.calls, contains("write " + KEY, "read " + KEY));
        assertThat(metrics.counter("store.timeouts.write").getCount(), is(1L));
        assertThat(metrics.counter("store.calls.write.refused").getCount(), is(1L));
        store.gate.countDown();
    }

    /** Guards against missed changes in a watch after an error and after the store has discarded history. */
    @Test
    void watchMissesNothing() throws Exception {
        AtomicBoolean fail = new AtomicBoolean();
        AtomicBoolean listenerFails = new AtomicBoolean(true);
        CountDownLatch failed = new CountDownLatch(1);
        MemoryStore store = new MemoryStore() {
            @Override
            public Listing watch(String prefix, long since, long waitMs) throws PlatformException {
                if (fail.get()) {
                    throw new PlatformException.Unavailable("down", null);
                }
                return super.watch(prefix, since, waitMs);
            }
        };
        List<Long> seen = Collections.synchronizedList(new ArrayList<>());
        ObjectWatch.Listener listener = new ObjectWatch.Listener() {
            @Override
            public void listed(ObjectStore.Listing all) {
                changed(all);
            }

            @Override
            public void changed(ObjectStore.Listing changes) {
                changes.entries().forEach(e -> seen.add(e.version()));
                if (listenerFails.compareAndSet(true, false)) {
                    throw new IllegalStateException("listener fails once");
                }
            }

            @Override
            public void failed(PlatformException cause) {
                failed.countDown();
            }
        };
        store.write(KEY, 0, new byte[0]);
        try (ObjectWatch watch = new ObjectWatch(
                store,
                "leases/",
                1,
                listener,
                RandomGeneratorFactory.getDefault().create(7))) {
            await(() -> seen.size() == 2);
            fail.set(true);
            assertThat(failed.await(10, TimeUnit.SECONDS), is(true));
            store.write(KEY, 1, new byte[0]);
            store.write(KEY, 2, new byte[0]);
            fail.set(false);
            await(() -> seen.contains(3L));
            fail.set(true);
            store.write(KEY, 3, new byte[0]);
            store.forgetHistory();
            fail.set(false);
            await(() -> seen.contains(4L));
            assertThat(watch, is(watch));
        }
        // The first listing is delivered twice, because the listener failed on it.
        assertThat(seen, contains(1L, 1L, 2L, 3L, 4L));
    }

    private int waiting() {
        return (Integer) metrics.getGauges().get("store.calls.waiting").getValue();
    }

    private static Callable<Optional<StoredObject>> read(BudgetedStore budget, Priority priority, String key) {
        return () -> budget.at(priority).read(new ObjectKey(key));
    }

    private static void await(Callable<Boolean> condition) throws Exception {
        while (!condition.call()) {
            Thread.onSpinWait();
            Thread.sleep(1);
        }
    }
}

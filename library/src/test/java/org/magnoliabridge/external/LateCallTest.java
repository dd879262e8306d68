package org.magnoliabridge.external;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.function.Executable;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.external.StoreRequest.Priority;

/** Calls of a budgeted store whose threads start late. */
@Timeout(20)
class LateCallTest {
    private static final ObjectKey KEY = new ObjectKey("leases/orders");
    private static final long DEADLINE_MS = 20;

    private final MetricRegistry metrics = new MetricRegistry();
    private final Recording store = new Recording();
    // The threads that are not started yet.
    private final List<Runnable> held = new ArrayList<>();

    /** Guards against a lease renewal or an order that is sent after its caller was told that its time is over. */
    @Test
    void callThatHasNotBegunByItsDeadlineIsNeverSent() {
        ObjectStore late = budget(4, MonotonicClock.system(), (name, call) -> held.add(call))
                .at(Priority.LEASE);
        assertNotSent(() -> late.write(KEY, 0, new byte[0]));
        assertNotSent(() -> late.delete(KEY, 0));
        assertNotSent(() -> late.read(KEY));
        assertNotSent(() -> late.list("leases/"));
        assertNotSent(() -> late.watch("leases/", 0, 1));
        held.forEach(Runnable::run);
        assertThat(store.calls, empty());
        for (String kind : List.of("write", "delete", "read", "list", "watch")) {
            assertThat(kind, counter("store.calls." + kind), is(0L));
            assertThat(kind, counter("store.calls." + kind + ".refused"), is(1L));
            assertThat(kind, counter("store.timeouts." + kind), is(0L));
            assertThat(kind, metrics.timer("store.time." + kind).getCount(), is(0L));
        }
        assertThat(metrics.getGauges().get("store.watches.open").getValue(), is(0));
    }

    /** Guards against a call that is sent late because its caller's thread is late too. */
    @Test
    void callThatWouldBeginAfterItsDeadlineIsNotSent() {
        AtomicLong nowMs = new AtomicLong();
        ObjectStore late = budget(4, nowMs::get, (name, call) -> {
                    nowMs.addAndGet(DEADLINE_MS);
                    call.run();
                })
                .at(Priority.LEASE);
        assertNotSent(() -> late.write(KEY, 0, new byte[0]));
        assertThat(store.calls, empty());
        assertThat(counter("store.calls.write"), is(0L));
        assertThat(counter("store.calls.write.refused"), is(1L));
        assertThat(counter("store.failures.write"), is(0L));
    }

    /** Guards against a caller that is told that its interrupted write may still take effect, and one that does. */
    @Test
    void callOfAnInterruptedCallerIsNotSentLater() {
        ObjectStore late = budget(4, MonotonicClock.system(), (name, call) -> {
                    held.add(call);
                    Thread.currentThread().interrupt();
                })
                .at(Priority.LEASE);
        assertNotSent(() -> late.write(KEY, 0, new byte[0]));
        assertThat("interrupt is kept", Thread.interrupted(), is(true));
        held.forEach(Runnable::run);
        assertThat(store.calls, empty());
    }

    /** Guards against a permit that is lost with a call that never began, or that is released twice. */
    @Test
    void callThatNeverBeginsReleasesItsPermitOnce() throws Exception {
        List<Thread> started = new ArrayList<>();
        boolean[] hold = {true};
        BudgetedStore.Threads threads = (name, call) -> {
            if (hold[0]) {
                held.add(call);
            } else {
                started.add(Thread.startVirtualThread(call));
                await(() -> store.calls.size() == started.size());
            }
        };
        AtomicLong nowMs = new AtomicLong();
        ObjectStore one = budget(1, nowMs::get, threads).at(Priority.LEASE);
        assertNotSent(() -> one.write(KEY, 0, new byte[0]));
        held.forEach(Runnable::run);
        hold[0] = false;
        store.gate = new CountDownLatch(1);
        assertThrows(PlatformException.OutcomeUnknown.class, () -> one.write(KEY, 0, new byte[0]));
        // The only permit is held by the call before.
        assertNotSent(() -> one.delete(KEY, 0));
        assertThat(store.calls, contains("write"));
        store.gate.countDown();
        started.getFirst().join();
        one.read(KEY);
        assertThat(store.calls, contains("write", "read"));
    }

    /** Guards against an outcome that differs from what was sent when a call begins right at its deadline. */
    @Test
    void outcomeAgreesWithWhatWasSentAtTheDeadline() throws Exception {
        int rounds = 500;
        RandomGenerator random = RandomGeneratorFactory.getDefault().create(11);
        List<Thread> started = new ArrayList<>();
        ObjectStore late = budget(
                        1,
                        MonotonicClock.system(),
                        (name, call) -> {
                            long delayNanos = random.nextLong(3_000_000);
                            started.add(Thread.startVirtualThread(() -> {
                                LockSupport.parkNanos(delayNanos);
                                call.run();
                            }));
                        },
                        2)
                .at(Priority.LEASE);
        int sent = 0;
        for (int round = 0; round < rounds; round++) {
            boolean notSent = false;
            try {
                late.write(new ObjectKey("k/" + round), 0, new byte[0]);
            } catch (PlatformException.OutcomeUnknown e) {
                notSent = false;
            } catch (PlatformException.Unavailable e) {
                notSent = true;
            }
            // A thread is missing here if an earlier round has kept the permit.
            assertThat("round " + round, started.size(), is(round + 1));
            started.get(round).join();
            sent += notSent ? 0 : 1;
            assertThat("round " + round + ", not sent " + notSent, store.calls.size(), is(sent));
        }
        assertThat(counter("store.calls.write"), is((long) sent));
        assertThat(counter("store.calls.write.refused"), is((long) rounds - sent));
    }

    /** Guards against readers that fail because they joined a read that was too late to be sent. */
    @Test
    void readPastItsDeadlineIsNotShared() throws Exception {
        AtomicLong nowMs = new AtomicLong();
        // Longer than the time limit of the test.
        long longMs = 60_000;
        BudgetedStore budget = new BudgetedStore(
                store, 4, longMs, metrics, new ReadCoalescer(longMs), nowMs::get, BudgetedStore.Threads.VIRTUAL);
        ObjectStore late = budget.fromNow(Priority.LEASE);
        nowMs.addAndGet(longMs);
        store.gate = new CountDownLatch(1);
        try (ExecutorService pool = Executors.newVirtualThreadPerTaskExecutor()) {
            Future<?> running = pool.submit(() -> budget.at(Priority.LEASE).read(KEY));
            await(() -> store.calls.size() == 1);
            assertNotSent(() -> late.read(KEY));
            store.gate.countDown();
            running.get();
        }
        assertThat(store.calls, contains("read"));
        assertThat(counter("store.calls.read.refused"), is(1L));
    }

    private BudgetedStore budget(int maxCalls, MonotonicClock clock, BudgetedStore.Threads threads) {
        return budget(maxCalls, clock, threads, DEADLINE_MS);
    }

    private BudgetedStore budget(int maxCalls, MonotonicClock clock, BudgetedStore.Threads threads, long deadlineMs) {
        return new BudgetedStore(store, maxCalls, deadlineMs, metrics, new ReadCoalescer(1), clock, threads);
    }

    private long counter(String name) {
        return metrics.counter(name).getCount();
    }

    private static void assertNotSent(Executable call) {
        assertThrows(PlatformException.Unavailable.class, call);
    }

    private interface Condition {
        boolean holds();
    }

    private static void await(Condition condition) {
        while (!condition.holds()) {
            LockSupport.parkNanos(1_000_000);
        }
    }

    /** A store that records its calls, which wait while its gate is closed. */
    private static final class Recording extends MemoryStore {
        private final List<String> calls = Collections.synchronizedList(new ArrayList<>());
        private volatile CountDownLatch gate = new CountDownLatch(0);

        private void record(String call) {
            calls.add(call);
            try {
                gate.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        @Override
        public Optional<StoredObject> read(ObjectKey key) throws PlatformException {
            record("read");
            return super.read(key);
        }

        @Override
        public long write(ObjectKey key, long expectedVersion, byte[] value) throws PlatformException {
            record("write");
            return super.write(key, expectedVersion, value);
        }

        @Override
        public void delete(ObjectKey key, long expectedVersion) throws PlatformException {
            record("delete");
        }

        @Override
        public Listing list(String prefix) throws PlatformException {
            record("list");
            return super.list(prefix);
        }

        @Override
        public Listing watch(String prefix, long sinceRevision, long waitMs) throws PlatformException {
            record("watch");
            return super.watch(prefix, sinceRevision, waitMs);
        }
    }
}

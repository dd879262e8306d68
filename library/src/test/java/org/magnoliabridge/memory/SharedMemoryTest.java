package org.magnoliabridge.memory;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.core.MonotonicClock;

class SharedMemoryTest {
    private static final int MIB = 1 << 20;
    private static final int LIMIT = 8 * MIB;
    private static final int LARGE_LIMIT = 7 * MIB;
    private static final long AWAIT_MS = 20_000;
    private static final int THREADS = 8;
    private static final int ROUNDS = 400;

    private final MetricRegistry metrics = new MetricRegistry();
    private final SharedMemory memory = new SharedMemory(LIMIT, MonotonicClock.system(), metrics);

    @AfterEach
    void close() {
        memory.close();
    }

    /** Records what an owner is told, in order. */
    private static class Told implements MemoryClaim.Owner {
        private final BlockingQueue<String> calls = new LinkedBlockingQueue<>();

        @Override
        public void granted() {
            calls.add("granted");
        }

        @Override
        public void refused() {
            calls.add("refused");
        }

        @Override
        public void evicted() {
            calls.add("evicted");
        }

        private String next() throws InterruptedException {
            String call = calls.poll(AWAIT_MS, TimeUnit.MILLISECONDS);
            return call == null ? "nothing" : call;
        }
    }

    /** Guards against an owner that is not told, or told too early, while others hold the room. */
    @Test
    void tellsOwnersWhatBecameOfTheirClaims() throws InterruptedException {
        Told first = new Told();
        MemoryClaim holder = memory.open(Holding.REQUEST_BODY, "10.0.0.1", first);
        holder.request(LARGE_LIMIT);
        assertThat(first.next(), is("granted"));
        Told second = new Told();
        MemoryClaim waiter = memory.open(Holding.CALLER_ANSWER, "10.0.0.2", second);
        waiter.request(2 * MIB);
        assertThat(memory.waiting(), is(1));
        assertThat(second.calls.isEmpty(), is(true));
        holder.close();
        assertThat(second.next(), is("granted"));
        assertThat(memory.bytes(Holding.CALLER_ANSWER), is(2L * MIB));
        assertThat(waiter.bytes(), is(2L * MIB));
        waiter.close();
        waiter.close();
        assertThat(memory.bytes(), is(0L));
    }

    /** Guards against a wait that does not end because no other event comes. */
    @Test
    void refusesAfterABoundedWait() throws InterruptedException {
        MemoryClaim holder = memory.open(Holding.BATCH_READ, "10.0.0.1");
        assertThat(holder.tryTake(LARGE_LIMIT), is(true));
        Told told = new Told();
        MemoryClaim waiter = memory.open(Holding.REQUEST_BODY, "10.0.0.2", told);
        long startNanos = System.nanoTime();
        waiter.request(MIB);
        assertThat(told.next(), is("refused"));
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertThat(tookMs, is(greaterThanOrEqualTo(1_000L)));
        assertThat(metrics.counter("memory.refused.no_room").getCount(), is(1L));
        assertThat(metrics.getGauges().get("memory.bytes.batch_read").getValue(), is((long) LARGE_LIMIT));
    }

    /** Guards against a claim without progress that is not told to give way because no other event comes. */
    @Test
    void evictsAStalledClaimForAWaitingOne() throws InterruptedException {
        Told stalled = new Told();
        MemoryClaim holder = memory.open(Holding.REQUEST_BODY, "10.0.0.1", stalled);
        holder.request(LARGE_LIMIT);
        assertThat(stalled.next(), is("granted"));
        TimeUnit.MILLISECONDS.sleep(500);
        Told told = new Told();
        memory.open(Holding.REQUEST_BODY, "10.0.0.2", told).request(MIB);
        assertThat(stalled.next(), is("evicted"));
        holder.close();
        assertThat(told.next(), is("granted"));
        assertThat(metrics.counter("memory.evicted").getCount(), is(1L));
    }

    /** Guards against a thread that waits beyond its time, or gets nothing although room is returned meanwhile. */
    @Test
    void aThreadTakesBytesWithinItsTime() throws Exception {
        MemoryClaim holder = memory.open(Holding.BATCH_READ, "10.0.0.1");
        assertThat(holder.take(LARGE_LIMIT, 0), is(true));
        MemoryClaim late = memory.open(Holding.BATCH_READ, "10.0.0.2");
        assertThat(late.tryTake(MIB), is(false));
        assertThat(late.take(MIB, 100), is(false));
        assertThat(memory.waiting(), is(0));
        try (ExecutorService threads = Executors.newSingleThreadExecutor()) {
            Future<Boolean> taken = threads.submit(() -> late.take(MIB, AWAIT_MS));
            while (memory.waiting() == 0) {
                TimeUnit.MILLISECONDS.sleep(1);
            }
            holder.close();
            assertThat(taken.get(), is(true));
        }
        assertThat(late.tryTake(MIB), is(true));
        assertThat(memory.bytes(), is(2L * MIB));
    }

    /** Guards against a thread that goes on waiting for a claim that has been closed. */
    @Test
    void closingAClaimEndsItsWait() throws Exception {
        MemoryClaim holder = memory.open(Holding.BATCH_READ, "10.0.0.1");
        assertThat(holder.tryTake(LARGE_LIMIT), is(true));
        MemoryClaim waiter = memory.open(Holding.BATCH_READ, "10.0.0.2");
        try (ExecutorService threads = Executors.newSingleThreadExecutor()) {
            Future<Boolean> taken = threads.submit(() -> waiter.take(MIB, 10 * AWAIT_MS));
            while (memory.waiting() == 0) {
                TimeUnit.MILLISECONDS.sleep(1);
            }
            waiter.close();
            assertThat(taken.get(AWAIT_MS, TimeUnit.MILLISECONDS), is(false));
        }
        assertThat(waiter.tryTake(1), is(false));
        assertThat(waiter.tryTake(1), is(false));
        assertThat(memory.bytes(), is((long) LARGE_LIMIT));
    }

    /** Guards against an interrupted thread whose wait stays and takes room later. */
    @Test
    void anInterruptedThreadDoesNotWaitAnyLonger() throws Exception {
        MemoryClaim holder = memory.open(Holding.BATCH_READ, "10.0.0.1");
        assertThat(holder.tryTake(LARGE_LIMIT), is(true));
        MemoryClaim waiter = memory.open(Holding.BATCH_READ, "10.0.0.2");
        CountDownLatch interrupted = new CountDownLatch(1);
        Thread thread = Thread.ofPlatform().start(() -> {
            try {
                waiter.take(MIB, 10 * AWAIT_MS);
            } catch (InterruptedException e) {
                interrupted.countDown();
            }
        });
        while (memory.waiting() == 0) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        thread.interrupt();
        assertThat(interrupted.await(AWAIT_MS, TimeUnit.MILLISECONDS), is(true));
        assertThat(memory.waiting(), is(0));
        holder.close();
        assertThat(memory.bytes(), is(0L));
    }

    /** Guards against requests that wait for room at a process that stops. */
    @Test
    void closingTheMemoryRefusesWhatWaits() throws InterruptedException {
        MemoryClaim holder = memory.open(Holding.BATCH_READ, "10.0.0.1");
        assertThat(holder.tryTake(LARGE_LIMIT), is(true));
        Told told = new Told();
        MemoryClaim waiter = memory.open(Holding.REQUEST_BODY, "10.0.0.2", told);
        waiter.request(MIB);
        memory.close();
        assertThat(told.next(), is("refused"));
        waiter.request(MIB);
        assertThat(told.next(), is("refused"));
    }

    /** Guards against one owner's failure that keeps a decision from another one, and against a call with the lock. */
    @Test
    void ownersAreCalledWithoutTheLock() throws Exception {
        MemoryClaim holder = memory.open(Holding.BATCH_READ, "10.0.0.1");
        assertThat(holder.tryTake(LARGE_LIMIT), is(true));
        Told told = new Told();
        MemoryClaim failing = memory.open(Holding.REQUEST_BODY, "10.0.0.2", new Told() {
            @Override
            public void granted() {
                try (ExecutorService other = Executors.newSingleThreadExecutor()) {
                    // Would wait for ever if the lock were held.
                    if (other.submit(memory::waiting).get(AWAIT_MS, TimeUnit.MILLISECONDS) == 0) {
                        throw new IllegalStateException("owner fails");
                    }
                } catch (ExecutionException | TimeoutException | InterruptedException e) {
                    throw new AssertionError(e);
                }
            }
        });
        failing.request(MIB);
        memory.open(Holding.REQUEST_BODY, "10.0.0.3", told).request(MIB);
        holder.close();
        assertThat(told.next(), is("granted"));
    }

    /** Guards against books that go wrong, or owners that are forgotten, when many threads claim at once. */
    @Test
    void threadsShareTheMemory() throws Exception {
        AtomicLong held = new AtomicLong();
        AtomicLong grants = new AtomicLong();
        List<Future<?>> runs = new ArrayList<>();
        try (ExecutorService threads = Executors.newFixedThreadPool(THREADS)) {
            for (int i = 0; i < THREADS; i++) {
                Random random = new Random(i);
                String origin = "10.0.0." + i;
                runs.add(threads.submit(() -> {
                    for (int round = 0; round < ROUNDS; round++) {
                        claim(random, origin, held, grants);
                    }
                    return null;
                }));
            }
            for (Future<?> run : runs) {
                run.get();
            }
        }
        assertThat(grants.get(), is(greaterThan((long) THREADS * ROUNDS / 2)));
        assertThat(memory.bytes(), is(0L));
        assertThat(memory.waiting(), is(0));
    }

    private void claim(Random random, String origin, AtomicLong held, AtomicLong grants) throws InterruptedException {
        Told told = new Told();
        try (MemoryClaim claim = memory.open(Holding.REQUEST_BODY, origin, told)) {
            long bytes = 1L + random.nextInt(3 * MIB);
            boolean granted;
            if (random.nextBoolean()) {
                claim.request(bytes);
                granted = told.next().equals("granted");
            } else {
                granted = claim.take(bytes, 1_000);
            }
            if (granted) {
                grants.incrementAndGet();
                assertThat(held.addAndGet(bytes), is(lessThanOrEqualTo((long) LIMIT)));
                claim.progress();
                LockSupport.parkNanos(1);
                held.addAndGet(-bytes);
            }
            assertThat(claim.bytes(), is(lessThan((long) LIMIT)));
        }
    }
}

package org.magnoliabridge.external;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.core.ControlLoop;
import org.magnoliabridge.external.StoreRequest.Priority;

class StoreRunnerTest {
    private static final ObjectKey KEY = new ObjectKey("leases/orders");
    private static final long DEADLINE_MS = 2_000;

    private final AtomicLong nowMs = new AtomicLong();
    private final MemoryStore store = new MemoryStore();
    private final ControlLoop loop = new ControlLoop("test");
    // The threads of requests that are not started yet.
    private final List<Runnable> held = new ArrayList<>();
    private final StoreRunner runner = new StoreRunner(
            new BudgetedStore(
                    store,
                    4,
                    DEADLINE_MS,
                    new MetricRegistry(),
                    new ReadCoalescer(1),
                    nowMs::get,
                    (name, call) -> call.run()),
            loop,
            (name, request) -> held.add(request));

    @AfterEach
    void stop() {
        loop.close();
    }

    /** Guards against a lease renewal that is sent after its core has taken it for lost and read the lease again. */
    @Test
    void requestWhoseThreadStartsAfterItsDeadlineIsNotSent() throws Exception {
        CompletableFuture<StoreReply> reply = run(new StoreRequest.Write(KEY, ObjectStore.ABSENT, new byte[0]));
        nowMs.addAndGet(DEADLINE_MS);
        held.forEach(Runnable::run);
        assertThat(reply.get(10, TimeUnit.SECONDS), is(new StoreReply.Unavailable()));
        assertThat(store.historyFrom(0), hasSize(0));
    }

    /** Guards against refusing a request whose thread starts late, but before its deadline. */
    @Test
    void requestWhoseThreadStartsBeforeItsDeadlineIsSent() throws Exception {
        CompletableFuture<StoreReply> reply = run(new StoreRequest.Write(KEY, ObjectStore.ABSENT, new byte[0]));
        nowMs.addAndGet(DEADLINE_MS - 1);
        held.forEach(Runnable::run);
        assertThat(reply.get(10, TimeUnit.SECONDS), is(new StoreReply.Written(1)));
    }

    private CompletableFuture<StoreReply> run(StoreRequest request) {
        CompletableFuture<StoreReply> reply = new CompletableFuture<>();
        runner.run(request, Priority.LEASE, reply::complete);
        return reply;
    }
}

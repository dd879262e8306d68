package org.magnoliabridge.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.core.ControlLoop;
import org.magnoliabridge.core.SuspensionDetector;
import org.magnoliabridge.external.BudgetedStore;
import org.magnoliabridge.external.CallPermit;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.external.PlatformException;
import org.magnoliabridge.external.StoreRunner;
import org.magnoliabridge.ids.FencingToken;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.lease.LeaseCore;

class LeaseDriverTest {
    private static final ObjectKey KEY = new ObjectKey("leases/duties");
    private static final FencingToken FIRST = new FencingToken(1);
    private static final long SUSPENSION_MS = 5_000;
    private static final long LIMIT_S = 30;

    private final ControlLoop loop = new ControlLoop("lease-test");
    private final FakeStore store = new FakeStore();
    private final MetricRegistry metrics = new MetricRegistry();
    private final AtomicLong nowMs = new AtomicLong(1_000);
    private final AtomicLong suspendedMs = new AtomicLong();
    private final LeaseDriver lease = driver();

    @AfterEach
    void close() {
        loop.close();
    }

    /** Guards against a lease that passes to the next node while a call of this one is under way. */
    @Test
    void leaseIsReleasedAfterTheCallsUnderWay() throws Exception {
        acquire();
        CallPermit permit = lease.gate().admit(FIRST).orElseThrow();
        CompletableFuture<Void> released = onLoop(lease::release);
        tick();
        assertThat("decides nothing more", onLoop(lease::view).held(), is(false));
        assertThat(released.isDone(), is(false));
        assertThat(stored(), containsString("\"holder\":\"node-0\""));
        permit.close();
        released.get(LIMIT_S, TimeUnit.SECONDS);
        assertThat(stored(), containsString("\"holder\":\"\""));
    }

    /** Guards against a holder that sends after a suspension, before and after its control thread has run. */
    @Test
    void suspensionEndsTheLeaseUntilItIsAcquiredAgain() throws Exception {
        acquire();
        suspendedMs.addAndGet(SUSPENSION_MS);
        assertThat(lease.gate().admit(FIRST).isPresent(), is(false));
        tick();
        assertThat(lease.gate().admit(FIRST).isPresent(), is(false));
        awaitHeld(new FencingToken(2));
    }

    private void acquire() throws Exception {
        awaitHeld(FIRST);
        // The takeover wait.
        nowMs.addAndGet(500);
    }

    // The store answers on threads of its own, so ticks are repeated until the lease is held.
    private void awaitHeld(FencingToken fencing) throws Exception {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_S);
        while (!onLoop(() -> lease.view().held() && lease.view().fencing().equals(fencing))) {
            assertThat("lease acquired in time", System.nanoTime() - endNanos < 0, is(true));
            tick();
            Thread.onSpinWait();
        }
    }

    private void tick() throws Exception {
        onLoop(() -> {
            lease.tick(true);
            return true;
        });
    }

    private <T> T onLoop(Callable<T> action) throws ExecutionException, InterruptedException, TimeoutException {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.post(() -> {
            try {
                result.complete(action.call());
            } catch (Exception e) {
                result.completeExceptionally(e);
            }
        });
        return result.get(LIMIT_S, TimeUnit.SECONDS);
    }

    private String stored() throws PlatformException {
        return new String(store.read(KEY).orElseThrow().value(), StandardCharsets.UTF_8);
    }

    private LeaseDriver driver() {
        LeaseCore core = new LeaseCore(
                KEY, new NodeId("node-0"), new Incarnation(1), GatewayDuties.leaseSettings(3_000, 350), nowMs.get());
        return new LeaseDriver(
                "duties",
                core,
                loop,
                nowMs::get,
                new SuspensionDetector(nowMs::get, () -> nowMs.get() + suspendedMs.get()),
                new StoreRunner(new BudgetedStore(store, 4, 10_000, metrics), loop),
                metrics);
    }
}

package org.magnoliabridge.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.calls.CallException;
import org.magnoliabridge.calls.Cancellation;
import org.magnoliabridge.calls.EndpointSource;
import org.magnoliabridge.calls.ExecutionStatus;
import org.magnoliabridge.calls.Failure;
import org.magnoliabridge.core.ControlLoop;
import org.magnoliabridge.core.MonotonicClock;

class DispatcherTest {
    private final RoutingFixture fixture = new RoutingFixture(1, 1, 10, Map.of());
    private final ControlLoop loop = new ControlLoop("test");
    private final Dispatcher dispatcher =
            new Dispatcher(fixture.core, loop, MonotonicClock.system(), new MetricRegistry(), endpoint -> {});

    @AfterEach
    void stop() {
        dispatcher.close();
        loop.close();
    }

    @Test
    void aReleasedSlotIsGivenToTheNextRequest() throws CallException, ExecutionException, InterruptedException {
        EndpointSource.Slot first = dispatcher.acquire(requestDueIn(5_000), new Cancellation());
        CompletableFuture<EndpointSource.Slot> second = acquireInBackground(new Cancellation());
        first.release(1);
        assertThat(second.get().endpoint(), is(first.endpoint()));
    }

    /** Guards I10 and I6: a request whose API key is withdrawn while it is queued is refused as not run. */
    @Test
    void aCancelledWaitEnds() throws CallException, InterruptedException {
        EndpointSource.Slot first = dispatcher.acquire(requestDueIn(5_000), new Cancellation());
        Cancellation cancellation = new Cancellation();
        CompletableFuture<EndpointSource.Slot> second = acquireInBackground(cancellation);
        cancellation.cancel(Cancellation.Reason.KEY_WITHDRAWN);
        ExecutionException error = assertThrows(ExecutionException.class, second::get);
        CallException refused = (CallException) error.getCause();
        assertThat(refused.failure(), is(instanceOf(Failure.Unauthenticated.class)));
        assertThat(refused.executionStatus(), is(ExecutionStatus.NOT_RUN));
        first.close();
    }

    /** Guards against waiting without limit when no slot becomes free. */
    @Test
    void aWaitEndsAtItsDeadline() throws CallException {
        dispatcher.acquire(requestDueIn(5_000), new Cancellation());
        CallException refused =
                assertThrows(CallException.class, () -> dispatcher.acquire(requestDueIn(20), new Cancellation()));
        assertThat(refused.failure(), is(instanceOf(Failure.DeadlineExceeded.class)));
    }

    private CompletableFuture<EndpointSource.Slot> acquireInBackground(Cancellation cancellation) {
        CompletableFuture<EndpointSource.Slot> result = new CompletableFuture<>();
        Thread.ofVirtual().start(() -> {
            try {
                result.complete(dispatcher.acquire(requestDueIn(5_000), cancellation));
            } catch (CallException e) {
                result.completeExceptionally(e);
            }
        });
        return result;
    }

    private static EndpointSource.SlotRequest requestDueIn(long timeoutMs) {
        long deadlineMs = MonotonicClock.system().nowMs() + timeoutMs;
        return RoutingFixture.slotRequest("a", EndpointSource.Priority.INTERACTIVE, 1, deadlineMs, Set.of());
    }
}

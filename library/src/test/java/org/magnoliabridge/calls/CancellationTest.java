package org.magnoliabridge.calls;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class CancellationTest {
    private final Cancellation cancellation = new Cancellation();

    /** Guards against an interrupt that ends what a thread does next, such as writing its answer. */
    @Test
    void threadIsNotInterruptedAfterItsWorkHasEnded() throws Exception {
        CountDownLatch cancelling = new CountDownLatch(1);
        CountDownLatch ended = new CountDownLatch(1);
        // Listeners run in order, so this one holds the cancellation until the work has ended.
        Cancellation.Registration first = cancellation.onCancel(() -> {
            cancelling.countDown();
            awaitUninterruptibly(ended);
        });
        Thread canceller = Thread.ofPlatform().unstarted(() -> cancellation.cancel(Cancellation.Reason.SHUTDOWN));
        String answer = cancellation.runInterruptibly(() -> {
            canceller.start();
            awaitUninterruptibly(cancelling);
            return "answer";
        });
        ended.countDown();
        canceller.join();
        first.close();
        assertThat(answer, is("answer"));
        assertThat(Thread.interrupted(), is(false));
    }

    /** Guards against a request that is cut off without an answer because its wait goes on past a shutdown. */
    @Test
    void shutdownEndsAWait() {
        Optional<String> answer = cancellation.runUntilShutdown(() -> {
            cancellation.cancel(Cancellation.Reason.SHUTDOWN);
            TimeUnit.MINUTES.sleep(1);
            return "answer";
        });
        assertThat(answer, is(Optional.empty()));
        assertThat(Thread.interrupted(), is(false));
    }

    /** Guards against a caller that leaves and ends a read of the store that other callers wait for. */
    @Test
    void leavingCallerDoesNotEndAWait() {
        Optional<String> answer = cancellation.runUntilShutdown(() -> {
            cancellation.cancel(Cancellation.Reason.CALLER_GONE);
            Thread.sleep(1);
            return "answer";
        });
        assertThat(answer, is(Optional.of("answer")));
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        while (latch.getCount() > 0) {
            Thread.onSpinWait();
        }
    }
}

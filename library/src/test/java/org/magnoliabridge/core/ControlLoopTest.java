package org.magnoliabridge.core;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ControlLoopTest {
    private static final long LIMIT_S = 5;

    private final ControlLoop loop = new ControlLoop("test");

    @AfterEach
    void stop() {
        loop.close();
    }

    /** Guards against a periodic task that ends for good after an error, while the process goes on without it. */
    @ParameterizedTest
    @ValueSource(classes = {IllegalStateException.class, StackOverflowError.class, OutOfMemoryError.class})
    void periodicTaskRunsAgainAfterAFailure(Class<? extends Throwable> failure) throws InterruptedException {
        CountDownLatch runs = new CountDownLatch(3);
        loop.postPeriodically(1, () -> {
            runs.countDown();
            throwUnchecked(failure);
        });
        assertThat(runs.await(LIMIT_S, TimeUnit.SECONDS), is(true));
    }

    /** Guards against a caller that waits without end for the result of a task that has failed. */
    @Test
    void futureOfATaskThatFailsIsCompleted() {
        CompletableFuture<Void> result = loop.submit(() -> {
            throw new StackOverflowError("thrown by the test");
        });
        ExecutionException e = assertThrows(ExecutionException.class, () -> result.get(LIMIT_S, TimeUnit.SECONDS));
        assertThat(e.getCause(), is(instanceOf(StackOverflowError.class)));
    }

    private static void throwUnchecked(Class<? extends Throwable> failure) {
        if (failure == IllegalStateException.class) {
            throw new IllegalStateException("thrown by the test");
        }
        throw failure == StackOverflowError.class
                ? new StackOverflowError("thrown by the test")
                : new OutOfMemoryError("thrown by the test");
    }
}

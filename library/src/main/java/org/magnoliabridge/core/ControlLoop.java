package org.magnoliabridge.core;

import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.FutureTask;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Runs all tasks that access the control state of a process on a single thread, so that this state needs no locks.
 *
 * <p>Tasks must not block. I/O runs on other threads, which post their results to this loop.
 */
public final class ControlLoop implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(ControlLoop.class.getName());
    private static final long CLOSE_WAIT_MS = 2_000;

    private final ScheduledThreadPoolExecutor executor;

    public ControlLoop(String name) {
        executor = new ScheduledThreadPoolExecutor(
                1, Thread.ofPlatform().name(name).daemon(true).factory());
        executor.setRemoveOnCancelPolicy(true);
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        executor.setContinueExistingPeriodicTasksAfterShutdownPolicy(false);
    }

    /** Runs a task on the control thread; a task posted after {@link #close} is dropped. */
    public void post(Runnable task) {
        try {
            executor.execute(() -> runLogged(task));
        } catch (RejectedExecutionException e) {
            LOG.log(Level.FINE, "control task dropped after close", e);
        }
    }

    /** Runs a task on the control thread and returns a future of its result; fails the future after {@link #close}. */
    public <T> CompletableFuture<T> submit(Callable<T> task) {
        CompletableFuture<T> result = new CompletableFuture<>();
        try {
            executor.execute(() -> complete(result, task));
        } catch (RejectedExecutionException e) {
            result.completeExceptionally(e);
        }
        return result;
    }

    /** Runs a task once after a delay in milliseconds. */
    public ScheduledFuture<?> schedule(long delayMs, Runnable task) {
        return executor.schedule(() -> runLogged(task), delayMs, TimeUnit.MILLISECONDS);
    }

    /** Runs a task once after a delay in milliseconds, like {@link #schedule}, unless the loop is closed first. */
    public void postDelayed(long delayMs, Runnable task) {
        ScheduledFuture<?> unused = schedule(delayMs, task);
    }

    /** Runs a task periodically; the period in milliseconds is from the end of one run to the start of the next. */
    public ScheduledFuture<?> scheduleWithFixedDelay(long periodMs, Runnable task) {
        return executor.scheduleWithFixedDelay(() -> runLogged(task), periodMs, periodMs, TimeUnit.MILLISECONDS);
    }

    /** Runs a task periodically, like {@link #scheduleWithFixedDelay}, until the loop is closed. */
    public void postPeriodically(long periodMs, Runnable task) {
        ScheduledFuture<?> unused = scheduleWithFixedDelay(periodMs, task);
    }

    @Override
    public void close() {
        executor.shutdown();
        try {
            if (!executor.awaitTermination(CLOSE_WAIT_MS, TimeUnit.MILLISECONDS)) {
                executor.shutdownNow();
            }
        } catch (InterruptedException e) {
            executor.shutdownNow();
            Thread.currentThread().interrupt();
        }
    }

    private static <T> void complete(CompletableFuture<T> result, Callable<T> task) {
        FutureTask<T> run = new FutureTask<>(task);
        run.run();
        if (run.state() == Future.State.SUCCESS) {
            result.complete(run.resultNow());
        } else {
            result.completeExceptionally(run.exceptionNow());
        }
    }

    // The executor silently cancels a periodic task that throws, so a FutureTask catches everything, errors included.
    private static void runLogged(Runnable task) {
        FutureTask<Void> run = new FutureTask<>(task, null);
        run.run();
        if (run.state() == Future.State.FAILED) {
            LOG.log(Level.SEVERE, "control task failed", run.exceptionNow());
        }
    }
}

package org.magnoliabridge.external;

import com.codahale.metrics.Counter;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Merges identical reads that wait at the same time.
 *
 * <p>A read never joins one that was already sent, because the result of that one may predate the reader's own last
 * write. It joins the next one, which is sent when the running one ends.
 */
final class ReadCoalescer {
    private final long maxWaitForRunningMs;
    private final Map<String, CompletableFuture<Optional<StoredObject>>> running = new HashMap<>();
    private final Map<String, CompletableFuture<Optional<StoredObject>>> next = new HashMap<>();

    /**
     * Creates a coalescer.
     *
     * @param maxWaitForRunningMs longest time that the next read waits for the running one, in milliseconds
     */
    ReadCoalescer(long maxWaitForRunningMs) {
        this.maxWaitForRunningMs = maxWaitForRunningMs;
    }

    /** Returns the answer of a read that is sent after this call; the first caller runs it on its thread. */
    CompletableFuture<Optional<StoredObject>> join(String id, Callable<Optional<StoredObject>> read, Counter shared) {
        CompletableFuture<Optional<StoredObject>> own = new CompletableFuture<>();
        CompletableFuture<Optional<StoredObject>> previous;
        synchronized (this) {
            CompletableFuture<Optional<StoredObject>> joined = next.putIfAbsent(id, own);
            if (joined != null) {
                shared.inc();
                return joined;
            }
            previous = running.get(id);
        }
        awaitRunning(previous);
        synchronized (this) {
            next.remove(id);
            running.put(id, own);
        }
        try {
            own.complete(read.call());
        } catch (Exception e) {
            own.completeExceptionally(e);
        }
        synchronized (this) {
            running.remove(id, own);
        }
        return own;
    }

    private void awaitRunning(CompletableFuture<?> previous) {
        if (previous == null) {
            return;
        }
        try {
            previous.get(maxWaitForRunningMs, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            return; // only the end of that read matters here; its own callers get the failure
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

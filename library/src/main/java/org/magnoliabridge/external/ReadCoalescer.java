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
 * <p>A read never joins one that was already sent, because that one may show a state from before the reader's own last
 * write; it joins the next one, which is sent when the running one ends.
 */
final class ReadCoalescer {
    private final long maxWaitForRunningMs;
    private final Map<String, CompletableFuture<Optional<StoredObject>>> running = new HashMap<>();
    private final Map<String, CompletableFuture<Optional<StoredObject>>> next = new HashMap<>();

    /**
     * Creates a coalescer.
     *
     * @param waitForRunningMs longest time that the next read waits for the running one, in milliseconds
     */
    ReadCoalescer(long waitForRunningMs) {
        this.maxWaitForRunningMs = waitForRunningMs;
    }

    /** Returns the answer of a read that is sent after this call; runs it on this thread if it is the first to ask. */
    CompletableFuture<Optional<StoredObject>> join(String id, Callable<Optional<StoredObject>> read, Counter shared) {
        CompletableFuture<Optional<StoredObject>> mine = new CompletableFuture<>();
        CompletableFuture<Optional<StoredObject>> before;
        synchronized (this) {
            CompletableFuture<Optional<StoredObject>> joined = next.putIfAbsent(id, mine);
            if (joined != null) {
                shared.inc();
                return joined;
            }
            before = running.get(id);
        }
        awaitRunning(before);
        synchronized (this) {
            next.remove(id);
            running.put(id, mine);
        }
        try {
            mine.complete(read.call());
        } catch (Exception e) {
            mine.completeExceptionally(e);
        }
        synchronized (this) {
            running.remove(id, mine);
        }
        return mine;
    }

    private void awaitRunning(CompletableFuture<?> before) {
        if (before == null) {
            return;
        }
        try {
            before.get(maxWaitForRunningMs, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            return; // only its end matters here; its own callers see the failure
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

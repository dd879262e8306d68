package org.magnoliabridge.external;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.CompletableFuture;
import org.magnoliabridge.external.StoreRequest.Priority;

/** A semaphore that grants its permits by priority, and in order of arrival within a priority. */
final class CallBudget {
    private final PriorityQueue<Waiter> waiters =
            new PriorityQueue<>(Comparator.comparing(Waiter::priority).thenComparingLong(Waiter::sequence));
    private int free;
    private long sequence;

    CallBudget(int permits) {
        if (permits < 1) {
            throw new IllegalArgumentException("at least one permit is required, got " + permits);
        }
        this.free = permits;
    }

    /** Returns a future that completes when the permit is granted. */
    synchronized CompletableFuture<Void> acquire(Priority priority) {
        CompletableFuture<Void> granted = new CompletableFuture<>();
        waiters.add(new Waiter(priority, sequence++, granted));
        grant();
        return granted;
    }

    synchronized void release() {
        free++;
        grant();
    }

    synchronized int waiting() {
        return waiters.size();
    }

    // A waiter that timed out or was interrupted has cancelled its future; complete then returns false and the permit
    // stays free.
    private void grant() {
        while (free > 0 && !waiters.isEmpty()) {
            if (waiters.poll().granted().complete(null)) {
                free--;
            }
        }
    }

    private record Waiter(Priority priority, long sequence, CompletableFuture<Void> granted) {}
}

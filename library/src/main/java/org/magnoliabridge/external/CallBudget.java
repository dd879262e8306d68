package org.magnoliabridge.external;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.CompletableFuture;
import org.magnoliabridge.external.StoreRequest.Priority;

/** A bounded number of permits that go to the waiter of the highest priority first, then in order of arrival. */
final class CallBudget {
    private final PriorityQueue<Waiter> waiters =
            new PriorityQueue<>(Comparator.comparing(Waiter::priority).thenComparingLong(Waiter::sequence));
    private int free;
    private long sequence;

    CallBudget(int permits) {
        if (permits < 1) {
            throw new IllegalArgumentException("at least one call must be allowed");
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

    // A waiter that gave up has cancelled its future, so complete returns false and the permit stays free.
    private void grant() {
        while (free > 0 && !waiters.isEmpty()) {
            if (waiters.poll().granted().complete(null)) {
                free--;
            }
        }
    }

    private record Waiter(Priority priority, long sequence, CompletableFuture<Void> granted) {}
}

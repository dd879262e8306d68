package org.magnoliabridge.batch;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Random;

/** Events on virtual time, with random delays and times of faults that a seed determines. */
abstract class RandomFaults {
    protected final Random random;
    protected long now;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::time).thenComparingLong(Event::order));
    private long order;

    private record Event(long time, long order, Runnable action) {}

    /** The time of a fault. */
    protected record Window(long fromMs, long toMs) {
        boolean contains(long ms) {
            return fromMs <= ms && ms < toMs;
        }
    }

    protected RandomFaults(long seed) {
        random = new Random(seed);
    }

    protected final Window window(double probability, long latestStartMs, long maxMs) {
        long fromMs = random.nextLong(latestStartMs);
        long lengthMs = random.nextLong(maxMs);
        return random.nextDouble() < probability ? new Window(fromMs, fromMs + lengthMs) : new Window(0, 0);
    }

    /** Returns a delay that is a few milliseconds mostly. */
    protected final long delayMs(long maxMs) {
        return random.nextDouble() < 0.9 ? 1 + random.nextLong(5) : 1 + random.nextLong(maxMs);
    }

    protected final void at(long timeMs, Runnable action) {
        events.add(new Event(Math.max(now, timeMs), order++, action));
    }

    protected final void after(long delayMs, Runnable action) {
        at(now + delayMs, action);
    }

    protected final void runUntil(long endMs) {
        while (!events.isEmpty() && events.peek().time() <= endMs) {
            Event next = events.poll();
            now = next.time();
            next.action().run();
        }
    }
}

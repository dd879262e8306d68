package org.magnoliabridge.orders;

import java.util.ArrayDeque;
import java.util.Deque;

/** The maximum over a sliding time window. */
final class SlidingMax {
    private final long windowMs;
    private final Deque<Sample> samples = new ArrayDeque<>();

    SlidingMax(long windowMs) {
        this.windowMs = windowMs;
    }

    /** Adds a value and returns the largest value in the window. */
    int add(long nowMs, int value) {
        while (!samples.isEmpty() && samples.peekLast().value() <= value) {
            samples.removeLast();
        }
        samples.addLast(new Sample(nowMs, value));
        while (samples.peekFirst().atMs() < nowMs - windowMs) {
            samples.removeFirst();
        }
        return samples.peekFirst().value();
    }

    private record Sample(long atMs, int value) {}
}

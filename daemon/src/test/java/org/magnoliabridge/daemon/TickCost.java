package org.magnoliabridge.daemon;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;

/** The bytes that a call allocates on its thread, as a measure of work that repeats. */
final class TickCost {
    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    private static final int REPETITIONS = 100;

    private TickCost() {}

    /** Returns the bytes of an average call after as many calls that are not counted. */
    static long bytesPerCall(Runnable call) {
        repeat(call);
        long before = THREADS.getCurrentThreadAllocatedBytes();
        repeat(call);
        return (THREADS.getCurrentThreadAllocatedBytes() - before) / REPETITIONS;
    }

    private static void repeat(Runnable call) {
        for (int i = 0; i < REPETITIONS; i++) {
            call.run();
        }
    }
}

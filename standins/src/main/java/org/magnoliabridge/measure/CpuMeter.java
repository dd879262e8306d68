package org.magnoliabridge.measure;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;

/** Measures the processor time of this thread, which other load on the machine disturbs less than elapsed time. */
final class CpuMeter {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final int WARM_UP_RUNS = 3;
    private static final int RUNS = 5;

    private CpuMeter() {}

    /** Returns the median processor time of a task in nanoseconds, after some runs to warm up. */
    static long medianNanos(Runnable task) {
        for (int i = 0; i < WARM_UP_RUNS; i++) {
            task.run();
        }
        long[] times = new long[RUNS];
        for (int i = 0; i < RUNS; i++) {
            long start = THREADS.getCurrentThreadCpuTime();
            task.run();
            times[i] = THREADS.getCurrentThreadCpuTime() - start;
        }
        Arrays.sort(times);
        return times[RUNS / 2];
    }
}

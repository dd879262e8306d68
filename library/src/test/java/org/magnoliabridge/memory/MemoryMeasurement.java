package org.magnoliabridge.memory;

import com.codahale.metrics.MetricRegistry;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.magnoliabridge.core.MonotonicClock;

/**
 * Measures what claims of ordinary requests cost, with nothing waiting and with many waiting; run by
 * {@code bin/measure-memory [seconds]}.
 */
public final class MemoryMeasurement {
    private static final int SMALL_BYTES = 800;
    private static final long LIMIT_BYTES = 46L << 20;
    private static final long LARGE_LIMIT_BYTES = LIMIT_BYTES / 8 * 7;
    private static final int WAITING = 1_000;
    private static final List<Integer> THREADS = List.of(1, 4);

    private MemoryMeasurement() {}

    /** Runs the measurement. */
    public static void main(String[] args) throws InterruptedException, ExecutionException {
        long seconds = args.length > 0 ? Long.parseLong(args[0]) : 3;
        PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);
        out.println("claims of 800 B, opened, granted, moved on once and closed");
        for (int round = 0; round < 2; round++) {
            for (int threads : THREADS) {
                out.println(line(threads, 0, seconds));
                out.println(line(threads, WAITING, seconds));
            }
        }
    }

    private static String line(int threads, int waiting, long seconds) throws InterruptedException, ExecutionException {
        try (SharedMemory memory = new SharedMemory(LIMIT_BYTES, MonotonicClock.system(), new MetricRegistry());
                ExecutorService executor = Executors.newFixedThreadPool(threads)) {
            MemoryClaim large = memory.open(Holding.BATCH_READ, "10.0.0.1");
            large.tryTake(LARGE_LIMIT_BYTES);
            fill(memory, waiting);
            long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
            List<Future<Long>> runs = new ArrayList<>();
            for (int i = 0; i < threads; i++) {
                String origin = "10.0.1." + i;
                runs.add(executor.submit(() -> claims(memory, origin, waiting, endNanos)));
            }
            long count = 0;
            for (Future<Long> run : runs) {
                count += run.get();
            }
            return String.format(
                    Locale.ROOT,
                    "%d threads, %d waiting: %,d claims/s, %.2f us each on a thread",
                    threads,
                    waiting,
                    count / seconds,
                    1e6 * seconds * threads / count);
        }
    }

    private static void fill(SharedMemory memory, int waiting) {
        for (int i = memory.waiting(); i < waiting; i++) {
            MemoryClaim claim = memory.open(Holding.REQUEST_BODY, "10.0.2." + i % 250, new Silent());
            claim.request(1 << 20);
        }
    }

    private static long claims(SharedMemory memory, String origin, int waiting, long endNanos) {
        long count = 0;
        while (System.nanoTime() < endNanos) {
            try (MemoryClaim claim = memory.open(Holding.CALLER_ANSWER, origin, new Silent())) {
                if (claim.tryTake(SMALL_BYTES)) {
                    claim.progress();
                    count++;
                }
            }
            if (waiting > 0 && memory.waiting() < waiting / 2) {
                fill(memory, waiting);
            }
        }
        return count;
    }

    private static final class Silent implements MemoryClaim.Owner {
        @Override
        public void granted() {}

        @Override
        public void refused() {}

        @Override
        public void evicted() {}
    }
}

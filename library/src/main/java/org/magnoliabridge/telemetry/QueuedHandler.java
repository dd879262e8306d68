package org.magnoliabridge.telemetry;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * Writes log lines on a thread of its own, so that a slow reader of the log never holds up a request.
 *
 * <p>Lines are left out when the queue is full, and routine ones, below {@link Level#WARNING}, when there are too many
 * in a second. The next line that is written says how many were left out.
 */
final class QueuedHandler extends Handler {
    // A few seconds of a busy node; at some 300 bytes a line this bounds the memory to about a megabyte.
    private static final int MAX_QUEUED_LINES = 4_096;
    // Two lines for each of the items of a step that several trainers start in the same second.
    private static final int MAX_ROUTINE_LINES_PER_SECOND = 1_000;
    private static final long FLUSH_TIMEOUT_MS = 500;
    private static final long FLUSH_POLL_MS = 5;

    private final OutputStream out;
    private final LongSupplier nanoClock;
    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final AtomicLong droppedLines = new AtomicLong();
    private final AtomicLong writtenLines = new AtomicLong();
    private final AtomicLong acceptedLines = new AtomicLong();
    private final Object windowLock = new Object();
    private final Thread writer;
    private long windowSecond = Long.MIN_VALUE;
    private int windowLines;

    /**
     * Starts the writing thread.
     *
     * @param nanoClock monotonic, in nanoseconds
     */
    QueuedHandler(OutputStream out, Formatter formatter, LongSupplier nanoClock) {
        this.out = Objects.requireNonNull(out);
        this.nanoClock = Objects.requireNonNull(nanoClock);
        setFormatter(formatter);
        writer = Thread.ofPlatform().daemon().name("log-writer").unstarted(this::write);
        writer.start();
    }

    @Override
    public void publish(LogRecord record) {
        if (!isLoggable(record)) {
            return;
        }
        boolean routine = record.getLevel().intValue() < Level.WARNING.intValue();
        if ((routine && !tryAcquireRoutineLine()) || !lines.offer(getFormatter().format(record))) {
            droppedLines.incrementAndGet();
        } else {
            acceptedLines.incrementAndGet();
        }
    }

    /** Waits until what was published is written, half a second at most. */
    @Override
    public void flush() {
        long limit = acceptedLines.get();
        long endNanos = nanoClock.getAsLong() + TimeUnit.MILLISECONDS.toNanos(FLUSH_TIMEOUT_MS);
        while (writtenLines.get() < limit && nanoClock.getAsLong() < endNanos) {
            try {
                Thread.sleep(FLUSH_POLL_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    @Override
    public void close() {
        flush();
        writer.interrupt();
    }

    private boolean tryAcquireRoutineLine() {
        long second = TimeUnit.NANOSECONDS.toSeconds(nanoClock.getAsLong());
        synchronized (windowLock) {
            if (second != windowSecond) {
                windowSecond = second;
                windowLines = 0;
            }
            return windowLines++ < MAX_ROUTINE_LINES_PER_SECOND;
        }
    }

    private void write() {
        List<String> taken = new ArrayList<>();
        try {
            while (true) {
                taken.add(lines.take());
                lines.drainTo(taken);
                int count = taken.size();
                long missing = droppedLines.getAndSet(0);
                if (missing > 0) {
                    taken.add(
                            getFormatter().format(new LogRecord(Level.WARNING, missing + " log lines were left out")));
                }
                out.write(String.join("", taken).getBytes(StandardCharsets.UTF_8));
                out.flush();
                writtenLines.addAndGet(count);
                taken.clear();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            // Nobody reads the log any more, and there is no other place to say so.
            lines.clear();
        }
    }
}

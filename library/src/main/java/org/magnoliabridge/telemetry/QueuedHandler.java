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
 * Writes log lines on a dedicated thread, so that a slow reader of the log does not block requests.
 *
 * <p>Lines are dropped when the queue is full. Routine lines, those below {@link Level#WARNING}, are also dropped above
 * a rate limit per second. The number of dropped lines is logged after the next lines that are written.
 */
final class QueuedHandler extends Handler {
    // Holds a few seconds of a busy node's log; at about 300 bytes per line, this limits memory to about 1 MB.
    private static final int MAX_QUEUED_LINES = 4_096;
    // Allows two lines per item when several trainers start a step in the same second.
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
     * Creates a handler and starts its writer thread.
     *
     * @param nanoClock a monotonic clock in nanoseconds
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

    /** Waits until all lines accepted so far are written, for half a second at most. */
    @Override
    public void flush() {
        long target = acceptedLines.get();
        long endNanos = nanoClock.getAsLong() + TimeUnit.MILLISECONDS.toNanos(FLUSH_TIMEOUT_MS);
        while (writtenLines.get() < target && nanoClock.getAsLong() < endNanos) {
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
        List<String> batch = new ArrayList<>();
        try {
            while (true) {
                batch.add(lines.take());
                lines.drainTo(batch);
                int count = batch.size();
                long dropped = droppedLines.getAndSet(0);
                if (dropped > 0) {
                    batch.add(getFormatter().format(new LogRecord(Level.WARNING, dropped + " log lines were dropped")));
                }
                out.write(String.join("", batch).getBytes(StandardCharsets.UTF_8));
                out.flush();
                writtenLines.addAndGet(count);
                batch.clear();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            // The log output is closed, and there is no other place to report it.
            lines.clear();
        }
    }
}

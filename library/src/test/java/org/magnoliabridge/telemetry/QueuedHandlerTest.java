package org.magnoliabridge.telemetry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

class QueuedHandlerTest {
    private final AtomicLong nanos = new AtomicLong();
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    /** Guards against lost, partial or reordered lines while neither limit is exceeded. */
    @Test
    void linesAreWrittenInOrder() {
        QueuedHandler handler = new QueuedHandler(out, new JsonLogFormatter("n1"), System::nanoTime);
        for (int i = 0; i < 500; i++) {
            handler.publish(new LogRecord(Level.INFO, "line " + i));
        }
        handler.close();
        List<String> lines = lines();
        assertThat(lines, hasSize(500));
        for (int i = 0; i < 500; i++) {
            assertThat(lines.get(i), containsString("\"line " + i + "\""));
        }
    }

    /** Guards against a stalled reader of the log blocking requests, and against dropping lines unreported. */
    @Test
    void stalledReaderDoesNotBlockAndDroppedLinesAreReported() throws InterruptedException {
        CountDownLatch unblocked = new CountDownLatch(1);
        QueuedHandler handler =
                new QueuedHandler(new BlockedStream(unblocked), new JsonLogFormatter("n1"), System::nanoTime);
        long startNanos = System.nanoTime();
        for (int i = 0; i < 20_000; i++) {
            handler.publish(new LogRecord(Level.WARNING, "line " + i));
        }
        long tookMs = (System.nanoTime() - startNanos) / 1_000_000;
        assertThat("a stalled reader would block publishing forever", tookMs, lessThan(10_000L));
        unblocked.countDown();
        handler.publish(new LogRecord(Level.WARNING, "last"));
        handler.flush();
        handler.close();
        assertThat(lines(), hasItem(containsString("log lines were dropped")));
    }

    /** Guards against log volume that grows with the load, and against dropping warnings with the routine lines. */
    @Test
    void routineLinesAreRateLimitedAndWarningsAreNot() {
        QueuedHandler handler = new QueuedHandler(out, new JsonLogFormatter("n1"), () -> nanos.getAndAdd(1));
        for (int i = 0; i < 1_500; i++) {
            handler.publish(new LogRecord(Level.INFO, "routine"));
            if (i % 10 == 0) {
                handler.publish(new LogRecord(Level.WARNING, "failure"));
            }
        }
        long failures = await(handler, 150);
        assertThat(failures, is(150L));
        assertThat(lines().stream().filter(l -> l.contains("\"routine\"")).count(), is(1_000L));
    }

    private long await(QueuedHandler handler, long expected) {
        long endNanos = System.nanoTime() + 10_000_000_000L;
        long failures = 0;
        while (failures < expected && System.nanoTime() < endNanos) {
            handler.flush();
            failures = lines().stream().filter(l -> l.contains("\"failure\"")).count();
        }
        return failures;
    }

    private List<String> lines() {
        synchronized (out) {
            return out.toString(StandardCharsets.UTF_8).lines().toList();
        }
    }

    /** Blocks writes until the latch is released, then writes to the test's buffer. */
    private final class BlockedStream extends OutputStream {
        private final CountDownLatch unblocked;

        BlockedStream(CountDownLatch unblocked) {
            this.unblocked = unblocked;
        }

        @Override
        public void write(int b) throws IOException {
            write(new byte[] {(byte) b}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int offset, int count) throws IOException {
            try {
                unblocked.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            synchronized (out) {
                out.write(bytes, offset, count);
            }
        }
    }
}

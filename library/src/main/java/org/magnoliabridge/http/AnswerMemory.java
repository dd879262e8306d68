package org.magnoliabridge.http;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Collects the bodies of answers within a limit on their total size, because servers may send answers without end on
 * several connections at once. Beyond the limit the largest body is dropped, so that small answers are not affected.
 * Thread-safe.
 */
final class AnswerMemory {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    // A body is kept in blocks, so that it is not copied while it grows.
    private static final int MIN_BLOCK_BYTES = 1024;
    private static final int MAX_BLOCK_BYTES = 64 * 1024;

    private final long maxBytes;
    private final Set<Body> bodies = new HashSet<>();
    private long bytes;

    /**
     * Creates a memory without bodies.
     *
     * @param maxBytes limit on the size of all bodies together, in bytes
     */
    AnswerMemory(long maxBytes) {
        if (maxBytes < MAX_BLOCK_BYTES) {
            throw new IllegalArgumentException("maxBytes must be at least " + MAX_BLOCK_BYTES + ", got " + maxBytes);
        }
        this.maxBytes = maxBytes;
    }

    /** Returns an empty body of at most {@code maxBodyBytes} bytes; it must be closed. */
    Body newBody(int maxBodyBytes) {
        return new Body(maxBodyBytes);
    }

    /** Returns the memory that the bodies occupy, in bytes. */
    synchronized long bytes() {
        return bytes;
    }

    private void allocate(Body body, int blockBytes) {
        body.blocks.add(new byte[blockBytes]);
        body.allocated += blockBytes;
        bytes += blockBytes;
        bodies.add(body);
        while (bytes > maxBytes) {
            Body largest = bodies.stream()
                    .max(Comparator.comparingLong(b -> b.allocated))
                    .orElseThrow();
            LOG.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                    "dropping an answer of %d bytes so far: answers being received exceed %d bytes in total",
                    largest.size, maxBytes);
            largest.dropped = true;
            release(largest);
        }
    }

    private void release(Body body) {
        if (bodies.remove(body)) {
            bytes -= body.allocated;
        }
        body.blocks.clear();
        body.allocated = 0;
    }

    /** The body of one answer. */
    final class Body implements UndertowHttpCaller.ContentReceiver, AutoCloseable {
        private final int maxBodyBytes;
        private final List<byte[]> blocks = new ArrayList<>();
        private long allocated;
        private int size;
        private int lastBlockBytes;
        private boolean dropped;

        private Body(int maxBodyBytes) {
            this.maxBodyBytes = maxBodyBytes;
        }

        /**
         * Appends a piece.
         *
         * @throws HttpFailure.TooLarge if the body is larger than its limit, or was dropped
         */
        @Override
        public boolean bytes(byte[] piece) throws HttpFailure.TooLarge {
            synchronized (AnswerMemory.this) {
                if (size > maxBodyBytes - piece.length) {
                    throw new HttpFailure.TooLarge(maxBodyBytes);
                }
                requireKept();
                int copied = 0;
                while (copied < piece.length) {
                    if (blocks.isEmpty() || lastBlockBytes == blocks.getLast().length) {
                        allocate(this, Math.clamp(size, MIN_BLOCK_BYTES, MAX_BLOCK_BYTES));
                        lastBlockBytes = 0;
                        requireKept();
                    }
                    byte[] block = blocks.getLast();
                    int count = Math.min(piece.length - copied, block.length - lastBlockBytes);
                    System.arraycopy(piece, copied, block, lastBlockBytes, count);
                    copied += count;
                    lastBlockBytes += count;
                    size += count;
                }
                return true;
            }
        }

        /**
         * Returns a copy of the content.
         *
         * @throws HttpFailure.TooLarge if the body was dropped
         */
        byte[] toArray() throws HttpFailure.TooLarge {
            synchronized (AnswerMemory.this) {
                requireKept();
                byte[] array = new byte[size];
                int copied = 0;
                for (byte[] block : blocks) {
                    int count = Math.min(block.length, size - copied);
                    System.arraycopy(block, 0, array, copied, count);
                    copied += count;
                }
                return array;
            }
        }

        private void requireKept() throws HttpFailure.TooLarge {
            if (dropped) {
                throw new HttpFailure.TooLarge(size);
            }
        }

        /** Frees the memory of the body. */
        @Override
        public void close() {
            synchronized (AnswerMemory.this) {
                release(this);
            }
        }
    }
}

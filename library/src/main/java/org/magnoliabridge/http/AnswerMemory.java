package org.magnoliabridge.http;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.memory.Content;
import org.magnoliabridge.memory.Holding;
import org.magnoliabridge.memory.MemoryClaim;
import org.magnoliabridge.memory.NodeMemory;
import org.magnoliabridge.memory.SharedMemory;

/**
 * Collects the bodies of answers within a limit on their total size, because servers may send answers without end on
 * several connections at once. Beyond the limit the largest body is dropped, so that small answers are not affected.
 * What the process has no room for waits for a bounded time. Thread-safe.
 */
final class AnswerMemory {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    // A body is kept in blocks, so that it is not copied while it grows.
    private static final int MIN_BLOCK_BYTES = 1024;
    private static final int MAX_BLOCK_BYTES = 64 * 1024;

    // Time to wait for room; claims of others without progress give way meanwhile.
    private static final long WAIT_MS = 1_000;
    private static final int NODE_SHARE = 2;
    private static final String UNKNOWN_ORIGIN = "";

    private final long maxBytes;
    private final NodeMemory memory;
    private final Set<Body> bodies = new HashSet<>();
    private long bytes;

    /**
     * Creates a memory without bodies.
     *
     * @param maxBytes limit on the size of all bodies together, in bytes
     * @param memory from which the bodies are taken, together with other holdings of the process
     */
    AnswerMemory(long maxBytes, NodeMemory memory) {
        if (maxBytes < MAX_BLOCK_BYTES) {
            throw new IllegalArgumentException("maxBytes must be at least " + MAX_BLOCK_BYTES + ", got " + maxBytes);
        }
        this.maxBytes = maxBytes;
        this.memory = memory;
    }

    /** Creates a memory that shares its limit with nobody. */
    AnswerMemory(long maxBytes) {
        this(maxBytes, privateMemory(maxBytes));
    }

    /** Returns a memory for the bodies of one {@code AnswerMemory} only. */
    static SharedMemory privateMemory(long maxBytes) {
        long limit = Math.max(SharedMemory.MIN_LIMIT_BYTES, maxBytes * NODE_SHARE);
        return new SharedMemory(limit, MonotonicClock.system(), new MetricRegistry());
    }

    /** Returns an empty body of at most {@code maxBodyBytes} bytes; it must be closed. */
    Body newBody(int maxBodyBytes) {
        return newBody(maxBodyBytes, UNKNOWN_ORIGIN);
    }

    /** Returns an empty body of at most {@code maxBodyBytes} bytes from an IP address; it must be closed. */
    Body newBody(int maxBodyBytes, String origin) {
        return new Body(maxBodyBytes, origin);
    }

    /** Returns the memory that the bodies occupy, in bytes. */
    synchronized long bytes() {
        return bytes;
    }

    /** Adds a block to a body; returns the claims of bodies that are dropped for it. */
    private synchronized List<MemoryClaim> allocate(Body body, int blockBytes) {
        if (body.dropped) {
            return List.of();
        }
        body.blocks.add(new byte[blockBytes]);
        body.lastBlockBytes = 0;
        body.allocated += blockBytes;
        bytes += blockBytes;
        bodies.add(body);
        List<MemoryClaim> dropped = new ArrayList<>();
        while (bytes > maxBytes) {
            Body largest = bodies.stream()
                    .max(Comparator.comparingLong(b -> b.allocated))
                    .orElseThrow();
            LOG.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                    "dropping an answer of %d bytes so far: answers being received exceed %d bytes in total",
                    largest.size, maxBytes);
            drop(largest);
            dropped.add(largest.claim);
        }
        return dropped;
    }

    private synchronized void drop(Body body) {
        body.dropped = true;
        release(body);
    }

    private synchronized void release(Body body) {
        if (bodies.remove(body)) {
            bytes -= body.allocated;
        }
        body.blocks.clear();
        body.allocated = 0;
    }

    /** The body of one answer. */
    final class Body implements UndertowHttpCaller.ContentReceiver, MemoryClaim.Owner, AutoCloseable {
        private final int maxBodyBytes;
        private final MemoryClaim claim;
        // Guarded by the memory, as are the others that change.
        private final List<byte[]> blocks = new ArrayList<>();
        private long allocated;
        private int size;
        private int lastBlockBytes;
        private boolean dropped;
        private boolean noRoom;
        private Optional<Content> complete = Optional.empty();

        private Body(int maxBodyBytes, String origin) {
            this.maxBodyBytes = maxBodyBytes;
            this.claim = memory.open(Holding.RECEIVED_ANSWER, origin, this);
        }

        /**
         * Appends a piece; waits for room if there is none.
         *
         * @throws HttpFailure.TooLarge if the body is larger than its limit, or was dropped; {@link HttpFailure.NoRoom}
         *     if others needed the room
         * @throws HttpFailure.Lost if the thread is interrupted while it waits
         */
        @Override
        public boolean bytes(byte[] piece) throws HttpFailure {
            if (size() > maxBodyBytes - piece.length) {
                throw new HttpFailure.TooLarge(maxBodyBytes);
            }
            int copied = append(piece, 0);
            while (copied < piece.length) {
                int blockBytes = Math.clamp(size(), MIN_BLOCK_BYTES, MAX_BLOCK_BYTES);
                take(blockBytes);
                allocate(this, blockBytes).forEach(MemoryClaim::close);
                copied = append(piece, copied);
            }
            claim.progress();
            return true;
        }

        private int size() {
            synchronized (AnswerMemory.this) {
                return size;
            }
        }

        /** Appends what fits into the last block; returns the number of bytes of the piece that have been appended. */
        private int append(byte[] piece, int offset) throws HttpFailure.TooLarge {
            synchronized (AnswerMemory.this) {
                requireKept();
                if (blocks.isEmpty()) {
                    return offset;
                }
                byte[] block = blocks.getLast();
                int count = Math.min(piece.length - offset, block.length - lastBlockBytes);
                System.arraycopy(piece, offset, block, lastBlockBytes, count);
                lastBlockBytes += count;
                size += count;
                return offset + count;
            }
        }

        private void take(int blockBytes) throws HttpFailure {
            try {
                if (!claim.tryTake(blockBytes) && !claim.take(blockBytes, WAIT_MS)) {
                    dropForOthers();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new HttpFailure.Lost("interrupted while waiting for memory", e);
            }
        }

        /**
         * Returns the content, which is not copied.
         *
         * @throws HttpFailure.TooLarge if the body was dropped
         */
        Content toContent() throws HttpFailure.TooLarge {
            synchronized (AnswerMemory.this) {
                requireKept();
                List<ByteBuffer> buffers = new ArrayList<>(blocks.size());
                int left = size;
                for (byte[] block : blocks) {
                    int count = Math.min(block.length, left);
                    buffers.add(ByteBuffer.wrap(block, 0, count));
                    left -= count;
                }
                complete = Optional.of(Content.of(buffers));
                return complete.get();
            }
        }

        /**
         * Returns a copy of the content.
         *
         * @throws HttpFailure.TooLarge if the body was dropped
         */
        byte[] toArray() throws HttpFailure.TooLarge {
            return toContent().toArray();
        }

        private void dropForOthers() {
            synchronized (AnswerMemory.this) {
                noRoom |= !dropped;
                drop(this);
            }
        }

        private void requireKept() throws HttpFailure.TooLarge {
            if (noRoom) {
                throw new HttpFailure.NoRoom(size);
            }
            if (dropped) {
                throw new HttpFailure.TooLarge(size);
            }
        }

        /** Does nothing: the thread that receives the answer waits for room itself. */
        @Override
        public void granted() {}

        /** Does nothing: the thread that receives the answer waits for room itself. */
        @Override
        public void refused() {}

        @Override
        public void evicted() {
            dropForOthers();
            claim.close();
        }

        /** Frees the memory of the body, or leaves the claim of large content to whoever passes it on. */
        @Override
        public void close() {
            Optional<Content> large;
            synchronized (AnswerMemory.this) {
                release(this);
                large = complete.filter(c -> !dropped && c.size() > MAX_BLOCK_BYTES);
                complete = Optional.empty();
            }
            large.ifPresentOrElse(c -> memory.offer(c, claim), claim::close);
        }
    }
}

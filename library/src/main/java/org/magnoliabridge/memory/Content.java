package org.magnoliabridge.memory;

import java.io.InputStream;
import java.io.SequenceInputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Immutable bytes in blocks of moderate size, so that a large body needs no contiguous memory and is not copied while
 * it grows.
 */
public final class Content {
    /** No bytes. */
    public static final Content EMPTY = new Content(List.of());

    private final List<ByteBuffer> blocks;
    private final long size;

    private Content(List<ByteBuffer> blocks) {
        this.blocks = blocks;
        this.size = blocks.stream().mapToLong(ByteBuffer::remaining).sum();
    }

    /** Returns the content of an array, which is not copied and must not be changed. */
    public static Content of(byte[] bytes) {
        return bytes.length == 0
                ? EMPTY
                : new Content(List.of(ByteBuffer.wrap(bytes).asReadOnlyBuffer()));
    }

    /** Returns the content of the remaining bytes of heap buffers, which are not copied and must not be changed. */
    public static Content of(List<ByteBuffer> blocks) {
        return new Content(blocks.stream().map(ByteBuffer::asReadOnlyBuffer).toList());
    }

    /** Returns the number of bytes. */
    public long size() {
        return size;
    }

    /** Returns the blocks in order, as buffers whose positions the caller may change. */
    public List<ByteBuffer> buffers() {
        List<ByteBuffer> copies = new ArrayList<>(blocks.size());
        blocks.forEach(b -> copies.add(b.duplicate()));
        return copies;
    }

    /** Returns a stream of the bytes. */
    public InputStream newInputStream() {
        List<InputStream> parts = new ArrayList<>(blocks.size());
        buffers().forEach(b -> parts.add(new BufferInputStream(b)));
        return new SequenceInputStream(Collections.enumeration(parts));
    }

    /** Returns a copy of the bytes in one array; for small content only. */
    public byte[] toArray() {
        byte[] all = new byte[Math.toIntExact(size)];
        int copied = 0;
        for (ByteBuffer block : buffers()) {
            int count = block.remaining();
            block.get(all, copied, count);
            copied += count;
        }
        return all;
    }

    private static final class BufferInputStream extends InputStream {
        private final ByteBuffer buffer;

        private BufferInputStream(ByteBuffer buffer) {
            this.buffer = buffer;
        }

        @Override
        public int read() {
            return buffer.hasRemaining() ? buffer.get() & 0xff : -1;
        }

        @Override
        public int read(byte[] target, int offset, int length) {
            if (length == 0) {
                return 0;
            }
            int count = Math.min(length, buffer.remaining());
            if (count == 0) {
                return -1;
            }
            buffer.get(target, offset, count);
            return count;
        }

        @Override
        public int available() {
            return buffer.remaining();
        }
    }
}

package org.magnoliabridge.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Limits the bytes that a connection receives without a head or content, because Undertow's client keeps heads and
 * trailers of any size. Used by the connection's I/O thread only.
 */
final class FramingLimit extends AbstractStreamSourceConduit<StreamSourceConduit> {
    // A head of 16 KB and a buffer of 8 KB that is read beyond it.
    static final int MAX_BYTES = 24 * 1024;

    private long bytes;
    private boolean answerBegun;

    private FramingLimit(StreamSourceConduit next) {
        super(next);
    }

    /** Adds a limit to a connection's source. */
    static FramingLimit addTo(ConduitStreamSourceChannel channel) {
        FramingLimit limit = new FramingLimit(channel.getConduit());
        channel.setConduit(limit);
        return limit;
    }

    /** Starts to count from 0 and expects a head; called when a request is sent. */
    void expectHead() {
        bytes = 0;
        answerBegun = false;
    }

    /** Starts to count from 0; called when a head or content has been received. */
    void received() {
        bytes = 0;
    }

    /** Returns whether any byte was received since the request was sent. */
    boolean answerBegun() {
        return answerBegun;
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        return (int) counted(super.read(target));
    }

    @Override
    public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
        return counted(super.read(targets, offset, length));
    }

    @Override
    public long transferTo(long position, long count, FileChannel target) throws IOException {
        return counted(super.transferTo(position, count, target));
    }

    @Override
    public long transferTo(long count, ByteBuffer through, StreamSinkChannel target) throws IOException {
        return counted(super.transferTo(count, through, target));
    }

    private long counted(long count) throws IOException {
        bytes += Math.max(0, count);
        answerBegun |= count > 0;
        if (bytes > MAX_BYTES) {
            throw new IOException("expected a head or content within " + MAX_BYTES + " bytes");
        }
        return count;
    }
}

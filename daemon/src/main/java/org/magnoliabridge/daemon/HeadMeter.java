package org.magnoliabridge.daemon;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.xnio.StreamConnection;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.StreamSourceConduit;

/** Reports how many bytes a connection receives. */
final class HeadMeter extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private final Receiver receiver;

    /** Receives the count of each read. */
    @FunctionalInterface
    interface Receiver {
        /**
         * Bytes were read.
         *
         * @throws IOException if the bytes must not be used; the connection is closed
         */
        void received(int count) throws IOException;
    }

    private HeadMeter(StreamSourceConduit next, Receiver receiver) {
        super(next);
        this.receiver = receiver;
    }

    /** Adds a meter to a connection that nothing was read from yet. */
    static void addTo(StreamConnection connection, Receiver receiver) {
        ConduitStreamSourceChannel channel = connection.getSourceChannel();
        channel.setConduit(new HeadMeter(channel.getConduit(), receiver));
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
        if (count > 0) {
            receiver.received((int) Math.min(count, Integer.MAX_VALUE));
        }
        return count;
    }
}

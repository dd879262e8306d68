package org.magnoliabridge.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.Optional;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.Conduits;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Passes on what a connection receives only if a strict parser accepts it, because Undertow's client takes heads that
 * are malformed. Used by the connection's I/O thread only.
 */
final class AnswerConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private final AnswerParser parser = new AnswerParser();
    private boolean expected;

    private AnswerConduit(StreamSourceConduit next) {
        super(next);
    }

    /** Adds a conduit to a connection's source. */
    static AnswerConduit addTo(ConduitStreamSourceChannel channel) {
        AnswerConduit conduit = new AnswerConduit(channel.getConduit());
        channel.setConduit(conduit);
        return conduit;
    }

    /** Expects the answer to a request with this method; called when the request is sent. */
    void expectAnswer(String method) {
        parser.expectAnswer(method);
        expected = true;
    }

    /** Returns the head of the answer; empty until all of it was received. */
    Optional<AnswerHead> head() {
        return parser.head();
    }

    /** Returns how many bytes of the answer's content were received, without their framing. */
    long contentBytes() {
        return parser.contentBytes();
    }

    /** Returns whether the answer was received up to its end. */
    boolean isComplete() {
        return parser.isComplete();
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        int start = target.position();
        int count = super.read(target);
        if (count > 0 && expected) {
            parser.parse(target.duplicate().flip().position(start));
        } else if (count < 0 && expected) {
            parser.end();
        }
        return count;
    }

    @Override
    public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
        for (int i = offset; i < offset + length; i++) {
            if (targets[i].hasRemaining()) {
                return read(targets[i]);
            }
        }
        return 0;
    }

    @Override
    public long transferTo(long position, long count, FileChannel target) throws IOException {
        return target.transferFrom(new ConduitReadableByteChannel(this), position, count);
    }

    @Override
    public long transferTo(long count, ByteBuffer through, StreamSinkChannel target) throws IOException {
        return Conduits.transfer(this, count, through, target);
    }
}

package org.magnoliabridge.edge;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * The bytes of a request body, of which only a limited number is read unless a reader wants them.
 *
 * <p>The server reads what is left of a body when an exchange ends, without a limit of its own. A connection that is
 * closed with unread bytes is reset, which may destroy the answer; so a limited number of bytes is read and dropped for
 * a limited time, and the connection is closed if the body has not ended by then. Many callers read an answer only
 * after they have sent their body, so one of allowed size that is refused may end.
 */
final class BodyConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
    /** Bytes that are read and dropped at most. */
    static final int MAX_DROPPED_BYTES = 64 * 1024;
    /** Time after which a connection whose body has not ended is closed, in milliseconds. */
    static final long DROP_MS = 1_000;
    /** The same for a body of allowed size. */
    static final long DROP_ALLOWED_MS = 10_000;

    private static final AttachmentKey<BodyConduit> KEY = AttachmentKey.create(BodyConduit.class);
    private static final AttachmentKey<Boolean> INSTALLED = AttachmentKey.create(Boolean.class);
    private static final AttachmentKey<Boolean> CLOSES = AttachmentKey.create(Boolean.class);
    // Chunk extensions and trailers have no limit in the server, and arrive as reads without content.
    private static final int MAX_EMPTY_READS = 64;

    private final HttpServerExchange exchange;
    private volatile boolean wanted;
    private final AtomicLong droppable = new AtomicLong(MAX_DROPPED_BYTES);
    private volatile long dropMs = DROP_MS;
    private final AtomicInteger emptyReads = new AtomicInteger();
    private volatile XnioExecutor.Key closing;

    private BodyConduit(StreamSourceConduit next, HttpServerExchange exchange) {
        super(next);
        this.exchange = exchange;
    }

    /** Limits what is read of an exchange's body; called before anything is read. */
    static void install(HttpServerExchange exchange) {
        if (exchange.isRequestComplete() || exchange.getAttachment(INSTALLED) != null) {
            return;
        }
        exchange.putAttachment(INSTALLED, true);
        exchange.addRequestWrapper((factory, ex) -> {
            BodyConduit body = new BodyConduit(factory.create(), ex);
            ex.putAttachment(KEY, body);
            return body;
        });
        // The server closes the input of an exchange that is not persistent before it reads what is left of the body.
        exchange.addDefaultResponseListener(ending -> {
            if (!ending.isPersistent() && !ending.isRequestComplete()) {
                ending.putAttachment(CLOSES, true);
                ending.setPersistent(true);
            }
            return false;
        });
        exchange.addExchangeCompleteListener((ended, next) -> {
            if (ended.getAttachment(CLOSES) != null) {
                ended.setPersistent(false);
            }
            BodyConduit body = ended.getAttachment(KEY);
            if (body != null && body.closing != null) {
                body.closing.remove();
            }
            next.proceed();
        });
    }

    /** Returns the conduit of an exchange whose request channel was obtained. */
    static BodyConduit of(HttpServerExchange exchange) {
        return exchange.getAttachment(KEY);
    }

    /** Sets whether a reader wants the bytes, which are then read without a limit. */
    void setWanted(boolean value) {
        wanted = value;
    }

    /** Lets a body end that is refused although its size is allowed: {@code bytes} more of it are read and dropped. */
    void dropRest(long bytes) {
        droppable.set(Math.max(MAX_DROPPED_BYTES, bytes));
        dropMs = DROP_ALLOWED_MS;
        wanted = false;
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        if (wanted) {
            return checked(super.read(target));
        }
        if (!mayDrop()) {
            return 0;
        }
        int limit = target.limit();
        target.limit(target.position() + (int) Math.min(target.remaining(), droppable.get()));
        try {
            int count = checked(super.read(target));
            droppable.addAndGet(-Math.max(0, count));
            return count;
        } finally {
            target.limit(limit);
        }
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
    public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target) throws IOException {
        return IoUtils.transfer(new ConduitReadableByteChannel(this), count, throughBuffer, target);
    }

    @Override
    public void resumeReads() {
        if (wanted || droppable.get() > 0) {
            super.resumeReads();
        }
    }

    @Override
    @SuppressWarnings("deprecation")
    public void wakeupReads() {
        if (wanted || droppable.get() > 0) {
            super.wakeupReads();
        }
    }

    private boolean mayDrop() {
        if (closing == null) {
            ServerConnection connection = exchange.getConnection();
            closing = exchange.getIoThread()
                    .executeAfter(() -> IoUtils.safeClose(connection), dropMs, TimeUnit.MILLISECONDS);
        }
        if (droppable.get() == 0) {
            super.suspendReads();
        }
        return droppable.get() > 0;
    }

    private int checked(int count) throws IOException {
        int empty = emptyReads.updateAndGet(e -> count == 0 ? e + 1 : 0);
        if (empty > MAX_EMPTY_READS) {
            IoUtils.safeClose(exchange.getConnection());
            throw new IOException("the body has no content in " + MAX_EMPTY_READS + " reads");
        }
        return count;
    }
}

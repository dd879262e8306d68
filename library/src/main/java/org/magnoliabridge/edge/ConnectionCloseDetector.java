package org.magnoliabridge.edge;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Notices that a caller closes its connection while its request runs.
 *
 * <p>The server does not read from a connection between a request's end and its answer, so a closed connection would
 * show only when the answer is written. Bytes of a pipelined request are given back to the server, and the watch ends.
 * Used on the connection's I/O thread only.
 */
final class ConnectionCloseDetector {
    private final HttpServerConnection connection;
    private final ConduitStreamSourceChannel channel;
    private final StreamSourceConduit raw;
    private final Runnable closed;

    private ConnectionCloseDetector(HttpServerConnection connection, Runnable closed) {
        this.connection = connection;
        this.channel = connection.getChannel().getSourceChannel();
        this.raw = connection.getOriginalSourceConduit();
        this.closed = closed;
    }

    /** Watches until the exchange completes; called on the I/O thread after the request was read to its end. */
    static void start(HttpServerExchange exchange, Runnable closed) {
        if (exchange.getConnection() instanceof HttpServerConnection connection && connection.getExtraBytes() == null) {
            ConnectionCloseDetector watch = new ConnectionCloseDetector(connection, closed);
            watch.channel.setReadListener(ready -> watch.read());
            watch.raw.resumeReads();
            exchange.addExchangeCompleteListener((ended, next) -> {
                // The server's own listener must not be set while this one may be running.
                ended.getIoThread().execute(() -> {
                    watch.raw.suspendReads();
                    next.proceed();
                });
            });
        }
    }

    private void read() {
        PooledByteBuffer buffer = connection.getByteBufferPool().allocate();
        try {
            int count = raw.read(buffer.getBuffer());
            if (count == 0) {
                return;
            }
            raw.suspendReads();
            if (count < 0) {
                closed.run();
            } else {
                buffer.getBuffer().flip();
                connection.ungetRequestBytes(buffer);
                buffer = null;
            }
        } catch (IOException e) {
            raw.suspendReads();
            closed.run();
        } finally {
            if (buffer != null) {
                buffer.close();
            }
        }
    }
}

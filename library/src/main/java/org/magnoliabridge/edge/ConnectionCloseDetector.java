package org.magnoliabridge.edge;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Detects that a caller closes its connection while its request runs.
 *
 * <p>The server does not read from a connection between the end of a request and its answer, so without this class a
 * closed connection is detected only when the answer is written. If bytes of a pipelined request arrive, they are
 * returned to the server and detection stops. Used on the connection's I/O thread only.
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

    /** Starts detection until the exchange completes; called on the I/O thread after the request was read. */
    static void start(HttpServerExchange exchange, Runnable closed) {
        if (exchange.getConnection() instanceof HttpServerConnection connection && connection.getExtraBytes() == null) {
            ConnectionCloseDetector detector = new ConnectionCloseDetector(connection, closed);
            detector.channel.setReadListener(ready -> detector.read());
            detector.raw.resumeReads();
            exchange.addExchangeCompleteListener((ended, next) -> {
                // Runs on the I/O thread, so that the server can't set its own listener while this one is running.
                ended.getIoThread().execute(() -> {
                    detector.raw.suspendReads();
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

package org.magnoliabridge.http;

import com.google.common.flogger.FluentLogger;
import io.undertow.client.ClientConnection;
import java.io.Closeable;
import java.io.IOException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.xnio.FutureResult;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.StreamConnection;

/**
 * A connection, the limit of what it receives without a head or content, and the check of its answers.
 *
 * @param stream the connection below the client, which closes without the client's wait for the server
 * @param reused whether the connection has served an earlier call
 */
record LimitedConnection(
        ClientConnection client, StreamConnection stream, FramingLimit limit, AnswerConduit answers, boolean reused)
        implements Closeable {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final long ABORT_TIMEOUT_MS = 1_000;

    /** Returns this connection for its next call. */
    LimitedConnection forReuse() {
        return new LimitedConnection(client, stream, limit, answers, true);
    }

    boolean isOpen() {
        return client.isOpen();
    }

    /** Makes the kernel drop what it has not delivered when the connection is closed, also by the client itself. */
    void dropUnsentOnClose() throws IOException {
        stream.setOption(Options.CLOSE_ABORT, true);
    }

    /** Closes the connection at once, without the client's wait for the server; returns when it is closed. */
    void abort() {
        FutureResult<Void> closed = new FutureResult<>();
        try {
            // Only the I/O thread closes a socket at once; for others it stays open until the next select.
            stream.getIoThread().execute(() -> {
                IoUtils.safeClose(stream);
                closed.setResult(null);
            });
        } catch (RejectedExecutionException e) {
            LOG.atFine().withCause(e).log("the I/O thread ends and closes the connection to %s", client);
            return;
        }
        if (closed.getIoFuture().await(ABORT_TIMEOUT_MS, TimeUnit.MILLISECONDS) == IoFuture.Status.WAITING) {
            LOG.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                    "a connection is not closed within %d ms: its I/O thread is busy", ABORT_TIMEOUT_MS);
        }
    }

    @Override
    public void close() throws IOException {
        client.close();
    }
}

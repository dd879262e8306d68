package org.magnoliabridge.http;

import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Opens connections and pools idle ones per target for a short time. */
final class ConnectionPool implements AutoCloseable {
    // Servers commonly close connections that were idle for 5 s or more; with a shorter limit here, a call is rarely
    // written to a connection that the server is closing.
    private static final long MAX_IDLE_MS = 3_000;
    // Subtracted from an idle limit that the server announces, to allow for the network delay.
    private static final long IDLE_MARGIN_MS = 500;
    private static final long SHUTDOWN_TIMEOUT_MS = 1_000;
    private static final int MAX_IDLE_PER_TARGET = 32;
    private static final int BUFFER_BYTES = 8 * 1024;

    private final XnioWorker worker;
    private final DefaultByteBufferPool buffers = new DefaultByteBufferPool(false, BUFFER_BYTES, -1, 4);
    private final Map<InetSocketAddress, Deque<Idle>> idle = new HashMap<>();
    private boolean closed;

    ConnectionPool(int ioThreads) {
        try {
            worker = Xnio.getInstance()
                    .createWorker(OptionMap.builder()
                            .set(Options.WORKER_NAME, "http-client")
                            .set(Options.WORKER_IO_THREADS, ioThreads)
                            .set(Options.WORKER_TASK_CORE_THREADS, 1)
                            .set(Options.WORKER_TASK_MAX_THREADS, 1)
                            .set(Options.TCP_NODELAY, true)
                            .set(Options.THREAD_DAEMON, true)
                            .getMap());
        } catch (IOException e) {
            throw new IllegalStateException("the I/O threads of the HTTP client cannot start", e);
        }
    }

    /** Returns an idle connection, or a new one if none is idle or the call requires a new connection. */
    LimitedConnection connection(HttpCall call, UndertowHttpCaller.Deadline deadline) throws HttpFailure.NotSent {
        LimitedConnection pooled = call.reuse() == HttpCall.Reuse.NONE ? null : takeIdle(call.target());
        return pooled != null
                ? pooled
                : connect(call, deadline.atMost(call.limits().connectMs()));
    }

    /**
     * Returns a connection to the pool; closes it if it cannot be reused.
     *
     * @param idleLimitMs how long the server keeps an idle connection open, if it announced that
     */
    void release(InetSocketAddress target, LimitedConnection connection, OptionalLong idleLimitMs) {
        long keptMs = idleLimitMs.isPresent() ? idleLimitMs.getAsLong() - IDLE_MARGIN_MS : MAX_IDLE_MS;
        if (keptMs <= 0 || !connection.isOpen() || !keep(target, connection, keptMs)) {
            IoUtils.safeClose(connection);
        }
    }

    @Override
    public void close() {
        synchronized (this) {
            closed = true;
            idle.values().forEach(queue -> queue.forEach(entry -> IoUtils.safeClose(entry.connection)));
            idle.clear();
        }
        worker.shutdownNow();
        awaitWorker();
        buffers.close();
    }

    // I/O threads that still handle an event allocate buffers, so the buffer pool is closed after they end.
    private void awaitWorker() {
        try {
            worker.awaitTermination(SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized boolean keep(InetSocketAddress target, LimitedConnection connection, long keptMs) {
        Deque<Idle> queue = idle.computeIfAbsent(target, t -> new ArrayDeque<>());
        if (closed || queue.size() >= MAX_IDLE_PER_TARGET) {
            return false;
        }
        queue.push(new Idle(connection.forReuse(), System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(keptMs)));
        return true;
    }

    // Takes the most recently used connection, so that the others expire and are closed.
    private synchronized LimitedConnection takeIdle(InetSocketAddress target) {
        Deque<Idle> queue = idle.get(target);
        if (queue == null) {
            return null;
        }
        long now = System.nanoTime();
        Idle entry = queue.poll();
        while (entry != null && (entry.untilNanos - now < 0 || !entry.connection.isOpen())) {
            IoUtils.safeClose(entry.connection);
            entry = queue.poll();
        }
        return entry == null ? null : entry.connection;
    }

    private LimitedConnection connect(HttpCall call, long limitMs) throws HttpFailure.NotSent {
        InetSocketAddress target = call.target();
        URI uri = URI.create("http://" + Exchange.hostHeader(target));
        LimitedConnector connector = new LimitedConnector(worker.getIoThread());
        IoFuture<ClientConnection> future =
                UndertowClient.getInstance().connect(uri, connector, buffers, OptionMap.EMPTY);
        IoFuture.Status status = future.await(limitMs, TimeUnit.MILLISECONDS);
        if (status == IoFuture.Status.WAITING) {
            future.addNotifier(ConnectionPool::closeAbandoned, null);
            future.cancel();
            throw new HttpFailure.NotSent("no connection to " + target + " within " + limitMs + " ms", null);
        }
        try {
            return new LimitedConnection(
                    future.get(), connector.stream(), connector.limit(), connector.answers(), false);
        } catch (IOException | RuntimeException e) {
            throw new HttpFailure.NotSent("cannot connect to " + target, e);
        }
    }

    // A connection that is established after the connect timeout has no owner and would otherwise stay open.
    private static void closeAbandoned(IoFuture<? extends ClientConnection> future, Object ignored) {
        if (future.getStatus() == IoFuture.Status.DONE) {
            try {
                IoUtils.safeClose(future.get());
            } catch (IOException e) {
                throw new IllegalStateException("a finished connection attempt has no connection", e);
            }
        }
    }

    private record Idle(LimitedConnection connection, long untilNanos) {}
}

package org.magnoliabridge.daemon;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.magnoliabridge.edge.AnswerFraming;
import org.magnoliabridge.edge.ServerPort;
import org.magnoliabridge.edge.UnreadBodies;
import org.magnoliabridge.gateway.CallerLimits;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/** The HTTP ports of a gateway node, on one I/O thread. */
final class GatewayServers implements AutoCloseable {
    private static final int MAX_HEADERS = 200;
    // Idle connections are closed only after this multiple of the limit, so that a request that a caller sends within
    // the limit does not race with the close.
    private static final int IDLE_FACTOR = 2;
    private static final int BACKLOG = 1_000;
    // Connections that are accepted together before the guard decides about the first of them.
    private static final int ACCEPTED_TOGETHER = 16;
    private static final int BUFFERS_PER_THREAD = 4;
    private static final long SMALL_HEAP_BYTES = 128L << 20;
    private static final int SMALL_BUFFER_BYTES = 1024;
    // Leaves room for the frame of a buffer in 16 KiB.
    private static final int LARGE_BUFFER_BYTES = 16 * 1024 - 20;
    private static final int MIN_BUFFER_BYTES = 512;
    // Half of the direct memory of the deployment; the other half is for the runtime's own I/O.
    private static final long BUFFER_MEMORY_BYTES = 16L << 20;
    // One for pipelined bytes, and one for the head of an answer that its caller does not read.
    private static final int BUFFERS_PER_CONNECTION = 2;

    private final ConnectionGuard guard;
    private final XnioWorker worker;
    private final ByteBufferPool buffers;
    private final List<HttpOpenListener> listeners = new ArrayList<>();
    private final List<AcceptingChannel<StreamConnection>> channels = new ArrayList<>();

    /**
     * Opens the ports.
     *
     * @throws IOException if a port cannot be opened
     */
    GatewayServers(
            GatewaySettings.Listen listen,
            HttpHandler callers,
            HttpHandler readiness,
            HttpHandler directory,
            HttpHandler metrics,
            ConnectionGuard guard)
            throws IOException {
        this.guard = guard;
        int bufferBytes = bufferBytes(Runtime.getRuntime().maxMemory(), guard.connections());
        buffers = new DefaultByteBufferPool(true, bufferBytes, -1, BUFFERS_PER_THREAD);
        worker = Xnio.getInstance(Undertow.class.getClassLoader())
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.TCP_NODELAY, true)
                        .set(Options.CORK, true)
                        .getMap());
        try {
            open(ServerPort.CALLERS, listen.callers(), callers);
            open(ServerPort.READINESS, listen.ready(), readiness);
            open(ServerPort.DIRECTORY, listen.directory(), directory);
            open(ServerPort.METRICS, listen.metrics(), metrics);
        } catch (IOException | RuntimeException e) {
            close();
            throw e;
        }
        apply(CallerLimits.DEFAULT);
        channels.forEach(AcceptingChannel::resumeAccepts);
    }

    /** Applies the limits to new connections. */
    void apply(CallerLimits limits) {
        OptionMap options = OptionMap.builder()
                // Routes are matched against the raw path, which is forwarded unchanged.
                .set(UndertowOptions.DECODE_URL, false)
                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                // The body reader enforces the limit of the configuration in force.
                .set(UndertowOptions.MAX_ENTITY_SIZE, -1L)
                .set(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
                .set(UndertowOptions.MAX_HEADER_SIZE, limits.maxHeaderBytes())
                .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, millis(limits.headerMs()))
                .set(UndertowOptions.NO_REQUEST_TIMEOUT, millis(IDLE_FACTOR * limits.idleMs()))
                .getMap();
        listeners.forEach(l -> l.setUndertowOptions(options));
    }

    /** Returns the addresses of the ports, in the order of {@link ServerPort}. */
    List<InetSocketAddress> addresses() {
        return channels.stream()
                .map(c -> c.getLocalAddress(InetSocketAddress.class))
                .toList();
    }

    @Override
    public void close() {
        channels.forEach(IoUtils::safeClose);
        worker.shutdown();
        try {
            worker.awaitTermination();
        } catch (InterruptedException e) {
            worker.shutdownNow();
            Thread.currentThread().interrupt();
        }
        buffers.close();
    }

    private void open(ServerPort port, InetSocketAddress address, HttpHandler handler) throws IOException {
        HttpOpenListener listener =
                new HttpOpenListener(buffers, OptionMap.create(UndertowOptions.BUFFER_PIPELINED_DATA, true));
        listener.setRootHandler(guard.guard(new UnreadBodies(new AnswerFraming(handler))));
        listeners.add(listener);
        int room = guard.room(port);
        OptionMap options = OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, 1)
                .set(Options.TCP_NODELAY, true)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.BALANCING_TOKENS, 1)
                .set(Options.BALANCING_CONNECTIONS, 2)
                .set(Options.BACKLOG, BACKLOG)
                // Accepts resume when the guard has closed the last connection beyond the room.
                .set(Options.CONNECTION_LOW_WATER, room + 1)
                .set(Options.CONNECTION_HIGH_WATER, room + ACCEPTED_TOGETHER)
                .getMap();
        channels.add(worker.createStreamConnectionServer(
                address, ChannelListeners.openListenerAdapter(guard.guard(port, listener)), options));
    }

    /**
     * Returns the size of a buffer such that the buffers of all connections fit in the memory for them, because callers
     * that pipeline requests or do not read answers keep buffers.
     *
     * @param heapBytes the largest size of the heap
     */
    static int bufferBytes(long heapBytes, int connections) {
        long most = heapBytes < SMALL_HEAP_BYTES ? SMALL_BUFFER_BYTES : LARGE_BUFFER_BYTES;
        long share = BUFFER_MEMORY_BYTES / ((long) BUFFERS_PER_CONNECTION * connections);
        return (int) Math.clamp(share, MIN_BUFFER_BYTES, most);
    }

    private static int millis(long ms) {
        return (int) Math.min(ms, Integer.MAX_VALUE);
    }
}

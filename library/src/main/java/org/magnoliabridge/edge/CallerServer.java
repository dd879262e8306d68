package org.magnoliabridge.edge;

import com.codahale.metrics.Gauge;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import java.net.InetSocketAddress;

/**
 * The HTTP server that callers use.
 *
 * <pre>{@code
 * CallerServer server = new CallerServer(dependencies, listen);
 * ...
 * server.gate().drain();
 * int cut = server.gate().awaitIdle(limitMs);
 * server.close();
 * }</pre>
 */
public final class CallerServer implements AutoCloseable {
    private static final int IO_THREADS = 2;
    private static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final int MAX_HEADERS = 100;
    private static final int REQUEST_HEAD_LIMIT_MS = 10_000;
    private static final int IDLE_CONNECTION_LIMIT_MS = 60_000;

    private final Undertow undertow;
    private final DrainGate gate = new DrainGate();
    private final ActiveCalls activeCalls = new ActiveCalls();

    /** Starts the server on an address; port 0 lets the system choose a port. */
    public CallerServer(EdgeDependencies dependencies, InetSocketAddress listen) {
        Gauge<Integer> open = gate::open;
        dependencies.metrics().register("edge.open_requests", open);
        undertow = Undertow.builder()
                .addHttpListener(listen.getPort(), listen.getAddress().getHostAddress())
                .setIoThreads(IO_THREADS)
                .setWorkerThreads(1)
                // Routes of the bundle match the raw path.
                .setServerOption(UndertowOptions.DECODE_URL, false)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                // The body reader enforces the limit of the configuration in force.
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, -1L)
                .setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, REQUEST_HEAD_LIMIT_MS)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_CONNECTION_LIMIT_MS)
                .setHandler(new UnreadBodies(new AnswerFraming(new CallerHandler(dependencies, gate, activeCalls))))
                .build();
        undertow.start();
    }

    /** Returns the address that the server listens on. */
    public InetSocketAddress address() {
        return (InetSocketAddress) undertow.getListenerInfo().getFirst().getAddress();
    }

    /** Returns the gate that counts open requests and starts the drain. */
    public DrainGate gate() {
        return gate;
    }

    /** Returns the running generations; the owner notifies them of each new key table. */
    public ActiveCalls activeCalls() {
        return activeCalls;
    }

    /** Closes the server at once and aborts open requests; drain the gate first. */
    @Override
    public void close() {
        undertow.stop();
    }
}

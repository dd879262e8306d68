package org.magnoliabridge.daemon;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import java.net.InetSocketAddress;
import org.magnoliabridge.edge.UnreadBodies;
import org.magnoliabridge.gateway.CallerLimits;
import org.xnio.OptionMap;

/** The HTTP ports of a gateway node, on one I/O thread. */
final class GatewayServers implements AutoCloseable {
    private static final int MAX_HEADERS = 200;
    // Idle connections are closed only after this multiple of the limit, so that a request that a caller sends within
    // the limit does not race with the close.
    private static final int IDLE_FACTOR = 2;

    private final Undertow undertow;

    /** Opens the ports. */
    GatewayServers(
            GatewaySettings.Listen listen,
            HttpHandler callers,
            HttpHandler readiness,
            HttpHandler directory,
            HttpHandler metrics) {
        Undertow.Builder builder = Undertow.builder().setIoThreads(1).setWorkerThreads(1);
        add(builder, listen.callers(), callers);
        add(builder, listen.ready(), readiness);
        add(builder, listen.directory(), directory);
        add(builder, listen.metrics(), metrics);
        // Routes are matched against the raw path, which is forwarded unchanged.
        builder.setServerOption(UndertowOptions.DECODE_URL, false);
        undertow = builder.build();
        undertow.start();
        apply(CallerLimits.DEFAULT);
    }

    /** Applies the limits to new connections. */
    void apply(CallerLimits limits) {
        OptionMap options = OptionMap.builder()
                .set(UndertowOptions.DECODE_URL, false)
                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                // The body reader enforces the limit of the configuration in force.
                .set(UndertowOptions.MAX_ENTITY_SIZE, -1L)
                .set(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
                .set(UndertowOptions.MAX_HEADER_SIZE, limits.maxHeaderBytes())
                .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, millis(limits.headerMs()))
                .set(UndertowOptions.NO_REQUEST_TIMEOUT, millis(IDLE_FACTOR * limits.idleMs()))
                .getMap();
        undertow.getListenerInfo().forEach(l -> l.setServerOptions(options));
    }

    @Override
    public void close() {
        undertow.stop();
    }

    private static void add(Undertow.Builder builder, InetSocketAddress address, HttpHandler handler) {
        builder.addHttpListener(address.getPort(), address.getAddress().getHostAddress(), new UnreadBodies(handler));
    }

    private static int millis(long ms) {
        return (int) Math.min(ms, Integer.MAX_VALUE);
    }
}

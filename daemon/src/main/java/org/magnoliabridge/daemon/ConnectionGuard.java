package org.magnoliabridge.daemon;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.edge.ConnectionBudget;
import org.magnoliabridge.edge.ConnectionBudget.Decision;
import org.magnoliabridge.edge.ConnectionRooms;
import org.magnoliabridge.edge.ServerPort;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * Reports the connections of the HTTP ports to a {@link ConnectionBudget} and closes those that it names. All ports
 * must use the same I/O thread, so that no request begins between a decision and the close; requests may end on any
 * thread.
 */
final class ConnectionGuard {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int HEAD_SHARE_OF_HEAP = 16;

    private final ConnectionRooms rooms;
    private final ConnectionBudget<StreamConnection> budget;
    // The requests whose bodies were incomplete at last; guarded by this object.
    private final Map<StreamConnection, HttpServerExchange> arriving = new HashMap<>();
    private final MonotonicClock clock;
    private final MetricRegistry metrics;

    /**
     * Creates a guard without connections.
     *
     * @param maxHeadBytes limit on the size of all incomplete heads together, in bytes
     */
    ConnectionGuard(ConnectionRooms rooms, long maxHeadBytes, MonotonicClock clock, MetricRegistry metrics) {
        this.rooms = rooms;
        this.budget = new ConnectionBudget<>(rooms, maxHeadBytes);
        this.clock = clock;
        this.metrics = metrics;
        for (ServerPort port : ServerPort.values()) {
            Gauge<Integer> open = () -> open(port);
            metrics.register("connections.open." + lower(port), open);
        }
        Gauge<Long> heads = this::headBytes;
        metrics.register("connections.head_bytes", heads);
        for (Reason reason : Reason.values()) {
            counter(reason);
        }
    }

    /** Creates the guard of this process from its settings and its heap. */
    static ConnectionGuard of(GatewaySettings settings, MetricRegistry metrics) {
        int descriptors = settings.maxDescriptors() > 0 ? settings.maxDescriptors() : DescriptorLimit.ofThisProcess();
        ConnectionRooms rooms = ConnectionRooms.of(descriptors);
        long maxHeadBytes = Runtime.getRuntime().maxMemory() / HEAD_SHARE_OF_HEAP;
        LOG.atInfo().log(
                "of %d descriptors, %d are for connections of callers; incomplete heads may take %d bytes",
                descriptors, rooms.of(ServerPort.CALLERS), maxHeadBytes);
        return new ConnectionGuard(rooms, maxHeadBytes, MonotonicClock.system(), metrics);
    }

    /** Why a connection was closed. */
    private enum Reason {
        IDLE,
        NO_ROOM,
        HEAD
    }

    /** Returns how many connections a port may have open. */
    int room(ServerPort port) {
        return rooms.of(port);
    }

    /** Returns how many connections all ports together may have open. */
    int connections() {
        return rooms.all();
    }

    /** Returns a listener that passes the accepted connections of a port on to its server. */
    ChannelListener<StreamConnection> guard(ServerPort port, HttpOpenListener server) {
        return connection -> {
            if (!isAccepted(port, connection)) {
                return;
            }
            HeadMeter.addTo(connection, count -> received(connection, count));
            server.handleEvent(connection);
            // The server has set its own listener.
            ChannelListener<? super StreamConnection> own = connection.getCloseListener();
            connection.setCloseListener(closed -> {
                closed(closed);
                ChannelListeners.invokeChannelListener(closed, own);
            });
            if (!connection.isOpen()) {
                closed(connection);
            }
        };
    }

    /** Returns a handler that reports when requests begin and end. */
    HttpHandler guard(HttpHandler handler) {
        return exchange -> {
            requestBegins(exchange);
            handler.handleRequest(exchange);
        };
    }

    private void requestBegins(HttpServerExchange exchange) {
        if (exchange.getConnection() instanceof HttpServerConnection server) {
            StreamConnection connection = server.getChannel();
            synchronized (this) {
                if (exchange.isRequestComplete()) {
                    budget.requestBegins(connection);
                } else {
                    budget.bodyBegins(clock.nowMs(), connection);
                    arriving.put(connection, exchange);
                }
            }
            exchange.addExchangeCompleteListener((ended, next) -> {
                synchronized (this) {
                    arriving.remove(connection);
                    budget.requestEnds(connection);
                }
                next.proceed();
            });
        }
    }

    private boolean isAccepted(ServerPort port, StreamConnection connection) {
        Decision<StreamConnection> decision;
        synchronized (this) {
            if (budget.open(port) >= rooms.of(port)) {
                dropCompleteBodies();
            }
            decision = budget.opened(clock.nowMs(), port, connection);
        }
        return switch (decision) {
            case Decision.Accepted<StreamConnection> accepted -> true;
            case Decision.Replaces<StreamConnection> replaces -> {
                close(replaces.idle(), Reason.IDLE);
                LOG.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                        "closed the connection at port %s that was without a whole request for longest: %d are open",
                        lower(port), rooms.of(port));
                yield true;
            }
            case Decision.Refused<StreamConnection> refused -> {
                close(connection, Reason.NO_ROOM);
                LOG.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                        "closed a new connection at port %s: all %d have a request", lower(port), rooms.of(port));
                yield false;
            }
        };
    }

    // The end of a body is not reported, and matters only when a connection has to be closed.
    private void dropCompleteBodies() {
        arriving.entrySet().removeIf(e -> {
            boolean complete = e.getValue().isRequestComplete();
            if (complete) {
                budget.bodyEnds(e.getKey());
            }
            return complete;
        });
    }

    private void received(StreamConnection connection, int count) throws IOException {
        List<StreamConnection> largest;
        synchronized (this) {
            largest = budget.received(clock.nowMs(), connection, count);
        }
        for (StreamConnection other : largest) {
            close(other, Reason.HEAD);
            LOG.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                    "closed the connection with the largest incomplete head");
        }
        if (largest.contains(connection)) {
            throw new IOException("the largest of too many incomplete heads");
        }
    }

    private void close(StreamConnection connection, Reason reason) {
        counter(reason).inc();
        IoUtils.safeClose(connection);
    }

    private synchronized void closed(StreamConnection connection) {
        arriving.remove(connection);
        budget.closed(connection);
    }

    private synchronized int open(ServerPort port) {
        return budget.open(port);
    }

    private synchronized long headBytes() {
        return budget.headBytes();
    }

    private Counter counter(Reason reason) {
        return metrics.counter("connections.closed." + lower(reason));
    }

    private static String lower(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}

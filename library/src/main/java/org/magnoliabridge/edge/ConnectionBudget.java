package org.magnoliabridge.edge;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which connections a node keeps, because callers may open any number of them, send parts of heads and stay
 * silent, or stop in the middle of a body. A connection with a whole request is never closed, nor one whose body makes
 * progress. A connection that is to be closed no longer counts, and events of connections that do not count are
 * ignored. Not thread-safe.
 *
 * @param <C> identifies a connection
 */
public final class ConnectionBudget<C> {
    /** The time without a byte after which a connection with an incomplete body gives way, in milliseconds. */
    static final long STALL_MS = 1_000;

    private final ConnectionRooms rooms;
    private final long maxHeadBytes;
    private final Map<C, Connection<C>> connections = new HashMap<>();
    private final Map<ServerPort, Integer> open = new EnumMap<>(ServerPort.class);
    // In the order in which they became idle.
    private final Map<ServerPort, LinkedHashSet<C>> idle = new EnumMap<>(ServerPort.class);
    // Connections whose request has an incomplete body, with the time of its last bytes, in the order of these times.
    private final Map<ServerPort, LinkedHashMap<C, Long>> arriving = new EnumMap<>(ServerPort.class);
    private long headBytes;

    /**
     * Creates a budget without connections.
     *
     * @param maxHeadBytes limit on the size of all incomplete heads together, in bytes
     */
    public ConnectionBudget(ConnectionRooms rooms, long maxHeadBytes) {
        if (maxHeadBytes < 1) {
            throw new IllegalArgumentException("maxHeadBytes must be at least 1, got " + maxHeadBytes);
        }
        this.rooms = rooms;
        this.maxHeadBytes = maxHeadBytes;
        for (ServerPort port : ServerPort.values()) {
            open.put(port, 0);
            idle.put(port, new LinkedHashSet<>());
            arriving.put(port, new LinkedHashMap<>());
        }
    }

    /** What happens to a new connection. */
    public sealed interface Decision<C> {
        /** The connection is accepted. */
        record Accepted<C>() implements Decision<C> {}

        /**
         * The connection is accepted, and another one is to be closed: the one that has been without a request for the
         * longest time, or else the one whose body has made no progress for the longest time.
         */
        record Replaces<C>(C idle) implements Decision<C> {}

        /** All connections of the port have a request that is whole or makes progress; the new one is to be closed. */
        record Refused<C>() implements Decision<C> {}
    }

    private static final class Connection<C> {
        private final C id;
        private final ServerPort port;
        private int headBytes;

        private Connection(C id, ServerPort port) {
            this.id = id;
            this.port = port;
        }
    }

    /** Decides about a new connection at a port; it counts unless it is refused. */
    public Decision<C> opened(long nowMs, ServerPort port, C id) {
        if (connections.containsKey(id)) {
            throw new IllegalArgumentException("expected a new connection, got " + id);
        }
        Optional<C> replaced = Optional.empty();
        if (open(port) >= rooms.of(port)) {
            replaced = idle.get(port).stream().findFirst().or(() -> stalled(nowMs, port));
            if (replaced.isEmpty()) {
                return new Decision.Refused<>();
            }
            closed(replaced.get());
        }
        connections.put(id, new Connection<>(id, port));
        open.merge(port, 1, Integer::sum);
        idle.get(port).add(id);
        return replaced.<Decision<C>>map(Decision.Replaces::new).orElseGet(Decision.Accepted::new);
    }

    private Optional<C> stalled(long nowMs, ServerPort port) {
        return arriving.get(port).entrySet().stream()
                .findFirst()
                .filter(e -> nowMs - e.getValue() >= STALL_MS)
                .map(Map.Entry::getKey);
    }

    /**
     * Counts bytes that a connection has received.
     *
     * @return the connections that are to be closed, those with the largest incomplete heads
     */
    public List<C> received(long nowMs, C id, int bytes) {
        Connection<C> connection = connections.get(id);
        if (connection == null || !isIdle(connection)) {
            if (connection != null && arriving.get(connection.port).remove(id) != null) {
                arriving.get(connection.port).put(id, nowMs);
            }
            return List.of();
        }
        connection.headBytes += bytes;
        headBytes += bytes;
        List<C> largest = new ArrayList<>();
        while (headBytes > maxHeadBytes) {
            Connection<C> next = connections.values().stream()
                    .max(Comparator.comparingInt(c -> c.headBytes))
                    .orElseThrow();
            closed(next.id);
            largest.add(next.id);
        }
        return largest;
    }

    /** The head of a request is complete. */
    public void requestBegins(C id) {
        Connection<C> connection = connections.get(id);
        if (connection != null) {
            idle.get(connection.port).remove(id);
            dropHead(connection);
        }
    }

    /** The head of a request is complete, and its body is not. */
    public void bodyBegins(long nowMs, C id) {
        requestBegins(id);
        Connection<C> connection = connections.get(id);
        if (connection != null) {
            arriving.get(connection.port).put(id, nowMs);
        }
    }

    /** The body of a request is complete. */
    public void bodyEnds(C id) {
        Connection<C> connection = connections.get(id);
        if (connection != null) {
            arriving.get(connection.port).remove(id);
        }
    }

    /** The request is answered; the connection can be used again. */
    public void requestEnds(C id) {
        Connection<C> connection = connections.get(id);
        if (connection != null) {
            arriving.get(connection.port).remove(id);
            idle.get(connection.port).add(id);
        }
    }

    /** The connection is closed, for whatever reason. */
    public void closed(C id) {
        Connection<C> connection = connections.remove(id);
        if (connection != null) {
            idle.get(connection.port).remove(id);
            arriving.get(connection.port).remove(id);
            open.merge(connection.port, -1, Integer::sum);
            dropHead(connection);
        }
    }

    /** Returns the number of connections of a port. */
    public int open(ServerPort port) {
        return open.get(port);
    }

    /** Returns the size of all incomplete heads together, in bytes. */
    public long headBytes() {
        return headBytes;
    }

    private boolean isIdle(Connection<C> connection) {
        return idle.get(connection.port).contains(connection.id);
    }

    private void dropHead(Connection<C> connection) {
        headBytes -= connection.headBytes;
        connection.headBytes = 0;
    }
}

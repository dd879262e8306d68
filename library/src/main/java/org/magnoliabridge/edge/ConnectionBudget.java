package org.magnoliabridge.edge;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which connections a node keeps, because callers may open any number of them, send parts of heads and stay
 * silent. A connection with a request is never closed. A connection that is to be closed no longer counts, and events
 * of connections that do not count are ignored. Not thread-safe.
 *
 * @param <C> identifies a connection
 */
public final class ConnectionBudget<C> {
    private final ConnectionRooms rooms;
    private final long maxHeadBytes;
    private final Map<C, Connection<C>> connections = new HashMap<>();
    private final Map<ServerPort, Integer> open = new EnumMap<>(ServerPort.class);
    // In the order in which they became idle.
    private final Map<ServerPort, LinkedHashSet<C>> idle = new EnumMap<>(ServerPort.class);
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
        }
    }

    /** What happens to a new connection. */
    public sealed interface Decision<C> {
        /** The connection is accepted. */
        record Accepted<C>() implements Decision<C> {}

        /** The connection is accepted, and one that has been without a request for the longest time is to be closed. */
        record Replaces<C>(C idle) implements Decision<C> {}

        /** All connections of the port have a request; the new one is to be closed. */
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
    public Decision<C> opened(ServerPort port, C id) {
        if (connections.containsKey(id)) {
            throw new IllegalArgumentException("expected a new connection, got " + id);
        }
        Optional<C> replaced = Optional.empty();
        if (open(port) >= rooms.of(port)) {
            replaced = idle.get(port).stream().findFirst();
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

    /**
     * Counts bytes that a connection without a request has received.
     *
     * @return the connections that are to be closed, those with the largest incomplete heads
     */
    public List<C> received(C id, int bytes) {
        Connection<C> connection = connections.get(id);
        if (connection == null || !isIdle(connection)) {
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

    /** The request is answered; the connection can be used again. */
    public void requestEnds(C id) {
        Connection<C> connection = connections.get(id);
        if (connection != null) {
            idle.get(connection.port).add(id);
        }
    }

    /** The connection is closed, for whatever reason. */
    public void closed(C id) {
        Connection<C> connection = connections.remove(id);
        if (connection != null) {
            idle.get(connection.port).remove(id);
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

package org.magnoliabridge.edge;

import java.util.EnumMap;
import java.util.Map;

/**
 * How many connections each port may have open.
 *
 * @param byPort the number of connections, at least 1 for each port
 */
public record ConnectionRooms(Map<ServerPort, Integer> byPort) {
    // Files, libraries and pipes of the process.
    private static final int FILES = 200;
    private static final int OPERATOR_CONNECTIONS = 16;

    public ConnectionRooms {
        byPort = Map.copyOf(byPort);
        for (ServerPort port : ServerPort.values()) {
            if (byPort.getOrDefault(port, 0) < 1) {
                throw new IllegalArgumentException("expected room for a connection at port " + port);
            }
        }
    }

    /**
     * Divides three quarters of the descriptors of a process that do not belong to files among its ports; the others
     * are for connections to endpoints, nodes and the store.
     *
     * @param descriptors how many descriptors the process may have open
     */
    public static ConnectionRooms of(int descriptors) {
        int connections = Math.max(0, descriptors - FILES) * 3 / 4;
        // Each address is asked for by a short call, while callers keep their connections for many requests.
        int directory = connections / 8;
        int callers = connections - directory - 2 * OPERATOR_CONNECTIONS;
        Map<ServerPort, Integer> rooms = new EnumMap<>(ServerPort.class);
        rooms.put(ServerPort.CALLERS, Math.max(1, callers));
        rooms.put(ServerPort.DIRECTORY, Math.max(1, directory));
        rooms.put(ServerPort.READINESS, OPERATOR_CONNECTIONS);
        rooms.put(ServerPort.METRICS, OPERATOR_CONNECTIONS);
        return new ConnectionRooms(rooms);
    }

    /** Returns how many connections a port may have open. */
    public int of(ServerPort port) {
        return byPort.get(port);
    }

    /** Returns how many connections all ports together may have open. */
    public int all() {
        return byPort.values().stream().mapToInt(Integer::intValue).sum();
    }
}

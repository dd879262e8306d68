package org.magnoliabridge.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Accepts connections from other nodes and hands them to {@link PeerConnections}. */
public final class PeerListener implements AutoCloseable {
    // Three connections for each of the 340 nodes of the target cluster size; no node needs more.
    private static final int MAX_LINKS = 1_024;
    private static final int BACKLOG = 128;
    private static final long ACCEPT_RETRY_MS = 10;

    private final ServerSocket server;
    private final PeerConnections connections;

    /**
     * Listens at an address; port 0 lets the system choose.
     *
     * @throws IOException if the address cannot be bound
     */
    public PeerListener(InetSocketAddress address, PeerConnections connections) throws IOException {
        this.connections = connections;
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(address, BACKLOG);
        Thread.ofPlatform().name("peer-listen").daemon(true).start(this::acceptAll);
    }

    /** Returns the address with the port in use. */
    public InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    // A failed accept, for example because no file descriptors are left, must not end the loop.
    private void acceptAll() {
        while (!server.isClosed()) {
            try {
                connections.accept(server.accept(), MAX_LINKS);
            } catch (IOException e) {
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(ACCEPT_RETRY_MS));
            }
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}

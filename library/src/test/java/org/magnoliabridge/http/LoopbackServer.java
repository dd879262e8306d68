package org.magnoliabridge.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Accepts connections on a loopback socket; a test's server decides what it sends on them. */
public final class LoopbackServer implements AutoCloseable {
    private static final int BACKLOG = 50;

    private final ServerSocket server;
    private final Connection connection;
    private final AtomicInteger connections = new AtomicInteger();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    /** Serves one connection. */
    public interface Connection {
        /** Serves a connection on a thread of its own; the connection is closed afterwards. */
        void serve(Socket socket) throws IOException, InterruptedException;
    }

    /** Starts a server; the connections may arrive at once. */
    public LoopbackServer(Connection connection) throws IOException {
        this.connection = connection;
        server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        Thread.ofPlatform().daemon().start(this::accept);
    }

    public InetSocketAddress address() {
        return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    }

    /** Returns the number of connections that were accepted. */
    public int connections() {
        return connections.get();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    /** Reads up to the end of a request's head; returns an empty text if the connection ends before it. */
    static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            if (b < 0) {
                return "";
            }
            head.append((char) b);
        }
        return head.toString();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                connections.incrementAndGet();
                sockets.add(socket);
                Thread.ofPlatform().daemon().start(() -> serve(socket));
            }
        } catch (IOException e) {
            // The test has closed the server socket.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            connection.serve(socket);
        } catch (IOException | InterruptedException e) {
            // The client closed the connection, which several tests cause on purpose.
        }
    }
}

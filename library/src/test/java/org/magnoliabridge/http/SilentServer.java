package org.magnoliabridge.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;

/**
 * A server on a loopback socket that answers the path {@code /ok}; it reads only the head of any other request, and the
 * rest of its connection when a test lets it.
 */
final class SilentServer implements AutoCloseable {
    private static final int READ_BYTES = 64 * 1024;
    // Leaves most of a request in the client's send buffer.
    private static final int RECEIVE_BUFFER_BYTES = 32 * 1024;
    // With the announced time, a connection is reused on a slow machine too.
    private static final String OK = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=600\r\nContent-Length: 2\r\n\r\nok";
    private static final String BROKEN = "HTTP/1.1 200 OK\r\n folded line\r\n";

    private final LoopbackServer server;
    private final CountDownLatch accepted = new CountDownLatch(1);
    private final CountDownLatch rest = new CountDownLatch(1);
    private final CompletableFuture<End> end = new CompletableFuture<>();

    /** How a connection ended: the bytes received since the last answer, and whether it was reset. */
    record End(int bytes, boolean reset) {}

    SilentServer() throws IOException {
        server = new LoopbackServer(this::serve);
    }

    InetSocketAddress address() {
        return server.address();
    }

    int connections() {
        return server.connections();
    }

    /** Counted down when the first connection is accepted. */
    CountDownLatch accepted() {
        return accepted;
    }

    /** Lets the server read the rest of its connections. */
    void readRest() {
        rest.countDown();
    }

    /** Completes when the first connection ends. */
    CompletableFuture<End> end() {
        return end;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        accepted.countDown();
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        try {
            receive(socket, received);
            end.complete(new End(received.size(), false));
        } catch (IOException e) {
            end.complete(new End(received.size(), true));
        }
    }

    private void receive(Socket socket, ByteArrayOutputStream received) throws IOException, InterruptedException {
        InputStream in = socket.getInputStream();
        String head = readHead(in, received);
        while (head.contains(" /ok ")) {
            write(socket, OK);
            received.reset();
            head = readHead(in, received);
        }
        if (head.contains(" /broken ")) {
            write(socket, BROKEN);
        }
        if (!head.isEmpty()) {
            rest.await();
            readRest(in, received);
        }
    }

    private static String readHead(InputStream in, ByteArrayOutputStream received) throws IOException {
        String head = "";
        while (!head.endsWith("\r\n\r\n")) {
            int b = in.read();
            if (b < 0) {
                return head;
            }
            received.write(b);
            head += (char) b;
        }
        return head;
    }

    private static void readRest(InputStream in, ByteArrayOutputStream received) throws IOException {
        byte[] buffer = new byte[READ_BYTES];
        int count = in.read(buffer);
        while (count >= 0) {
            received.write(buffer, 0, count);
            count = in.read(buffer);
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }
}

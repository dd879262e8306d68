package org.magnoliabridge.http;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** A server on a loopback socket that repeats bytes until its client closes, and answers the path {@code /ok}. */
public final class EndlessServer implements AutoCloseable {
    private static final int WRITE_BYTES = 8 * 1024;
    private static final int SEND_BUFFER_BYTES = 64 * 1024;
    private static final byte[] OK =
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.ISO_8859_1);

    private final LoopbackServer server;
    private final byte[] start;
    private final byte[] repeated;
    private final AtomicLong written = new AtomicLong();
    private final CountDownLatch begun = new CountDownLatch(1);
    private final CountDownLatch closedByClient = new CountDownLatch(1);

    /** Starts a server whose answers begin with {@code start} and go on with {@code unit} without end. */
    public EndlessServer(String start, String unit) throws IOException {
        this.start = start.getBytes(StandardCharsets.ISO_8859_1);
        this.repeated = unit.repeat(Math.max(1, WRITE_BYTES / unit.length())).getBytes(StandardCharsets.ISO_8859_1);
        server = new LoopbackServer(this::serve);
    }

    public InetSocketAddress address() {
        return server.address();
    }

    /** Returns the number of bytes of endless answers that the client and the socket buffers took. */
    public long written() {
        return written.get();
    }

    public int connections() {
        return server.connections();
    }

    /** Waits until the first endless answer begins; returns false if that takes longer. */
    public boolean awaitBegun(long limitMs) throws InterruptedException {
        return begun.await(limitMs, TimeUnit.MILLISECONDS);
    }

    /** Waits until a client closes the connection of an endless answer; returns false if that takes longer. */
    public boolean awaitClosed(long limitMs) throws InterruptedException {
        return closedByClient.await(limitMs, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private void serve(Socket socket) throws IOException {
        socket.setSendBufferSize(SEND_BUFFER_BYTES);
        String head = LoopbackServer.readHead(socket.getInputStream());
        while (!head.isEmpty()) {
            if (!head.contains(" /ok ")) {
                writeWithoutEnd(socket.getOutputStream());
            }
            socket.getOutputStream().write(OK);
            head = LoopbackServer.readHead(socket.getInputStream());
        }
    }

    private void writeWithoutEnd(OutputStream out) throws IOException {
        begun.countDown();
        try {
            out.write(start);
            while (true) {
                out.write(repeated);
                written.addAndGet(repeated.length);
            }
        } finally {
            closedByClient.countDown();
        }
    }
}

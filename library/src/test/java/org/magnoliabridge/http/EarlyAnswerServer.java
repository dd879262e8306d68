package org.magnoliabridge.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server on a loopback socket that answers before it has read a body, and reads the rest later from the same
 * connection. It answers the path {@code /ok} as usual.
 */
public final class EarlyAnswerServer implements AutoCloseable {
    // More than the kernel's buffers of one loopback connection (about 6 MB).
    private static final int BODY_BYTES = 16 << 20;
    private static final int EARLY_BYTES = 1_000;
    private static final int READ_BYTES = 64 * 1024;
    // A prime, so that a part of the body that is missing or repeated shifts the pattern.
    private static final int PATTERN_BYTES = 251;
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nok\n\r\n";
    private static final String END = "0\r\n\r\n";
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    private final ServerSocket server;
    private final boolean endsEarly;
    private final AtomicInteger connections = new AtomicInteger();
    private final CountDownLatch rest = new CountDownLatch(1);
    private final CompletableFuture<Received> received = new CompletableFuture<>();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    /** What arrived after the answer: the length of the body, and whether each byte was that of the body. */
    public record Received(int bytes, boolean unchanged) {
        /** Returns whether the whole body arrived. */
        public boolean whole() {
            return bytes == BODY_BYTES && unchanged;
        }
    }

    /** Starts a server that sends the end of its answer before or after the rest of the body. */
    public EarlyAnswerServer(boolean endsEarly) throws IOException {
        this.endsEarly = endsEarly;
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread.ofPlatform().daemon().start(this::accept);
    }

    public static byte[] body() {
        byte[] body = new byte[BODY_BYTES];
        for (int i = 0; i < body.length; i++) {
            body[i] = (byte) (i % PATTERN_BYTES);
        }
        return body;
    }

    public InetSocketAddress address() {
        return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    }

    public int connections() {
        return connections.get();
    }

    /** Lets the server read the rest of the body. */
    public void readRest() {
        rest.countDown();
    }

    /** Completes when the body has been received, or its connection has been closed. */
    public CompletableFuture<Received> received() {
        return received;
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
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
            String head = readHead(socket.getInputStream());
            while (!head.isEmpty()) {
                if (head.contains(" /ok ")) {
                    write(socket.getOutputStream(), OK);
                } else {
                    answerEarly(socket);
                }
                head = readHead(socket.getInputStream());
            }
        } catch (IOException | InterruptedException e) {
            // The client closed the connection, which it may do instead of sending the rest.
        }
    }

    private void answerEarly(Socket socket) throws IOException, InterruptedException {
        InputStream in = socket.getInputStream();
        in.readNBytes(EARLY_BYTES);
        write(socket.getOutputStream(), endsEarly ? HEAD + END : HEAD);
        rest.await();
        received.complete(readRest(in));
        if (!endsEarly) {
            write(socket.getOutputStream(), END);
        }
    }

    private static Received readRest(InputStream in) {
        byte[] buffer = new byte[READ_BYTES];
        int bytes = EARLY_BYTES;
        boolean unchanged = true;
        try {
            int count = in.read(buffer);
            while (count >= 0) {
                for (int i = 0; i < count; i++) {
                    unchanged &= buffer[i] == (byte) ((bytes + i) % PATTERN_BYTES);
                }
                bytes += count;
                if (bytes >= BODY_BYTES) {
                    return new Received(bytes, unchanged);
                }
                count = in.read(buffer, 0, Math.min(READ_BYTES, BODY_BYTES - bytes));
            }
        } catch (IOException e) {
            // The client reset the connection; what arrived before counts.
        }
        return new Received(bytes, unchanged);
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private static String readHead(InputStream in) throws IOException {
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
}

package org.magnoliabridge.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;

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

    private final LoopbackServer server;
    private final boolean endsEarly;
    private final CountDownLatch rest = new CountDownLatch(1);
    private final CompletableFuture<Received> received = new CompletableFuture<>();

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
        server = new LoopbackServer(this::serve);
    }

    public static byte[] body() {
        byte[] body = new byte[BODY_BYTES];
        for (int i = 0; i < body.length; i++) {
            body[i] = (byte) (i % PATTERN_BYTES);
        }
        return body;
    }

    public InetSocketAddress address() {
        return server.address();
    }

    public int connections() {
        return server.connections();
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
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        String head = LoopbackServer.readHead(socket.getInputStream());
        while (!head.isEmpty()) {
            if (head.contains(" /ok ")) {
                write(socket.getOutputStream(), OK);
            } else {
                answerEarly(socket);
            }
            head = LoopbackServer.readHead(socket.getInputStream());
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
}

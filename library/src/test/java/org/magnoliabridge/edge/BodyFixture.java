package org.magnoliabridge.edge;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.zip.CRC32;
import org.magnoliabridge.calls.Cancellation;
import org.magnoliabridge.calls.ExecutionStatus;
import org.magnoliabridge.calls.Failure;
import org.magnoliabridge.calls.FailureAnswer;
import org.magnoliabridge.memory.Content;
import org.magnoliabridge.memory.NodeMemory;

/** A server that answers each body with its size and checksum; {@code GET} paths are answered without a reader. */
final class BodyFixture implements AutoCloseable {
    static final long MAX_BYTES = 3 << 20;
    static final long STALL_MS = 400;
    private static final long WAIT_MS = 10_000;

    final List<Failure> refused = new CopyOnWriteArrayList<>();
    final List<Content> served = new CopyOnWriteArrayList<>();
    final CountDownLatch mayAnswer = new CountDownLatch(1);
    final AtomicInteger open = new AtomicInteger();
    final Cancellation cancellation = new Cancellation();
    volatile BodyReader.Limits limits = new BodyReader.Limits(MAX_BYTES, STALL_MS);
    private final BodyReader bodies;
    private final Undertow server;

    BodyFixture(NodeMemory memory) {
        bodies = new BodyReader(memory);
        server = Undertow.builder()
                .addHttpListener(0, "127.0.0.1")
                .setIoThreads(1)
                .setWorkerThreads(1)
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, -1L)
                .setHandler(new UnreadBodies(this::handle))
                .build();
        server.start();
    }

    private void handle(HttpServerExchange exchange) {
        open.incrementAndGet();
        exchange.addExchangeCompleteListener((ended, next) -> {
            open.decrementAndGet();
            next.proceed();
        });
        if (exchange.getRequestPath().equals("/none")) {
            exchange.setStatusCode(404).getResponseSender().send("none");
            return;
        }
        bodies.read(exchange, limits, cancellation, this::serve, this::refuse);
    }

    private void serve(HttpServerExchange exchange, ReceivedBody body, Cancellation cancellation) {
        served.add(body.content());
        if (exchange.getRequestPath().equals("/dropped")) {
            body.drop();
        }
        if (exchange.getRequestPath().equals("/held")
                || exchange.getRequestPath().equals("/dropped")) {
            try {
                mayAnswer.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        exchange.getResponseSender().send(answerTo(body.content().toArray()));
    }

    private void refuse(HttpServerExchange exchange, Failure failure) {
        refused.add(failure);
        FailureAnswer answer = FailureAnswer.of(failure, ExecutionStatus.NOT_RUN);
        exchange.setStatusCode(answer.status());
        exchange.getResponseSender().send(ByteBuffer.wrap(answer.body()));
    }

    /** Returns the answer to a body. */
    static String answerTo(byte[] body) {
        CRC32 sum = new CRC32();
        sum.update(body);
        return body.length + " " + sum.getValue();
    }

    /** Returns bytes that differ by position. */
    static byte[] bytes(int count) {
        byte[] all = new byte[count];
        for (int i = 0; i < count; i++) {
            all[i] = (byte) (i * 31 + (i >> 8));
        }
        return all;
    }

    Connection connect() throws IOException {
        return new Connection(
                ((InetSocketAddress) server.getListenerInfo().getFirst().getAddress()).getPort());
    }

    static void await(String what, java.util.function.BooleanSupplier condition) throws InterruptedException {
        long endNanos = System.nanoTime() + WAIT_MS * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > endNanos) {
                throw new AssertionError("not in time: " + what);
            }
            Thread.sleep(5);
        }
    }

    @Override
    public void close() {
        mayAnswer.countDown();
        server.stop();
    }

    /** An answer. */
    record Answer(int status, String head, String body) {}

    /** A caller's connection. */
    static final class Connection implements AutoCloseable {
        private final Socket socket;

        private Connection(int port) throws IOException {
            socket = new Socket(InetAddress.getLoopbackAddress(), port);
            socket.setSoTimeout((int) WAIT_MS);
        }

        Connection send(String text) throws IOException {
            return send(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        Connection send(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
            return this;
        }

        Connection sendHead(String path, String framing) throws IOException {
            return send("POST " + path + " HTTP/1.1\r\nHost: a\r\n" + framing + "\r\n\r\n");
        }

        Connection sendChunk(byte[] bytes) throws IOException {
            return send(Integer.toHexString(bytes.length) + "\r\n").send(bytes).send("\r\n");
        }

        /** Sends until the server closes the connection or the limit is reached; returns the bytes sent. */
        long flood(long maxBytes) {
            byte[] piece = new byte[16 * 1024];
            long sent = 0;
            try {
                while (sent < maxBytes) {
                    send(piece);
                    sent += piece.length;
                }
            } catch (IOException e) {
                // The server has closed the connection.
                return sent;
            }
            return sent;
        }

        void endOutput() throws IOException {
            socket.shutdownOutput();
        }

        Answer read() throws IOException {
            InputStream in = socket.getInputStream();
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int next = in.read();
                if (next < 0) {
                    throw new IOException("closed after: " + head);
                }
                head.append((char) next);
            }
            String lower = head.toString().toLowerCase(Locale.ROOT);
            int at = lower.indexOf("content-length: ");
            int length = at < 0 ? 0 : Integer.parseInt(lower.substring(at + 16, lower.indexOf("\r\n", at)));
            String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
            return new Answer(Integer.parseInt(head.substring(9, 12)), lower, body);
        }

        /** Returns whether the server accepts no more bytes after the time. */
        boolean isResetAfter(long waitMs) throws InterruptedException {
            Thread.sleep(waitMs);
            try {
                send("x");
                Thread.sleep(50);
                send("x");
                return false;
            } catch (IOException e) {
                return true;
            }
        }

        /** Returns whether the server closes the connection within the time. */
        boolean isClosedWithin(int limitMs) throws IOException {
            socket.setSoTimeout(limitMs);
            try {
                return socket.getInputStream().read() < 0;
            } catch (java.net.SocketTimeoutException e) {
                return false;
            } catch (IOException e) {
                // Reset.
                return true;
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}

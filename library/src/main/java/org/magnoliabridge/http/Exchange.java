package org.magnoliabridge.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Protocols;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.magnoliabridge.settings.SocketAddresses;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** One request and its answer on a connection; passes events from the I/O thread to the calling thread. */
final class Exchange {
    private static final int NOT_MODIFIED = 304;
    private static final int READ_BYTES = 8 * 1024;
    // The pieces of all exchanges may wait at once, while there is no room for their answers.
    private static final int MAX_QUEUED_PIECES = 16;
    private static final int RESUME_BELOW_PIECES = 4;
    // Other calls share the I/O thread.
    private static final int MAX_READS_PER_EVENT = 16;
    // The I/O thread runs all tasks that are due before it selects, so reads that resume at once could go on for ever.
    private static final long READ_PAUSE_MS = 1;

    private final LimitedConnection connection;
    private final HttpCall call;
    private final LinkedBlockingQueue<Event> events = new LinkedBlockingQueue<>();
    private final AtomicInteger queuedPieces = new AtomicInteger();
    // Used by the I/O thread only.
    private long contentBytes;
    private volatile StreamSourceChannel source;
    private volatile boolean sent;
    private volatile boolean withheld;
    private volatile boolean abandoned;

    Exchange(LimitedConnection connection, HttpCall call) {
        this.connection = connection;
        this.call = call;
    }

    /** Sends the request if the call's condition holds; from here on the server may execute the call. */
    void start() {
        if (call.condition().isPresent()) {
            try {
                connection.dropUnsentOnClose();
            } catch (IOException e) {
                failed(e);
                return;
            }
        }
        connection.client().getIoThread().execute(this::send);
    }

    private void send() {
        if (abandoned) {
            return;
        }
        if (!call.mayBeWritten()) {
            withheld = true;
            events.add(new Withheld());
            return;
        }
        connection.limit().expectHead();
        connection.answers().expectAnswer(call.method());
        connection.client().sendRequest(request(), callback(this::requestStarted));
    }

    /** Waits for the answer's status and headers. */
    AnswerHead awaitHead(long limitMs) throws HttpFailure {
        return switch (next(limitMs, "no answer within ")) {
            case Head head -> head.answer();
            case Withheld withheld ->
                throw new HttpFailure.NotSent(
                        "not written to " + call.target() + ": the condition of the call does not hold", null);
            case Piece piece -> throw new IllegalStateException("content before the status");
            case End end -> throw new IllegalStateException("end before the status");
            case Failed failed -> throw failedBeforeHead(failed);
        };
    }

    private HttpFailure.Lost failedBeforeHead(Failed failed) {
        return connection.reused() && !failed.answerBegun
                ? new HttpFailure.ReusedConnectionLost(failed.cause)
                : new HttpFailure.Lost(
                        "the connection failed before the answer: " + failed.cause.getMessage(), failed.cause);
    }

    /** Waits for the next piece of content; returns null when the answer is complete. */
    byte[] awaitContent(long limitMs) throws HttpFailure.Lost {
        return switch (next(limitMs, "the answer made no progress within ")) {
            case Piece piece -> taken(piece);
            case End end -> null;
            case Head head -> throw new IllegalStateException("second status");
            case Withheld withheld -> throw new IllegalStateException("content of a call that was not written");
            case Failed failed -> throw new HttpFailure.Lost("the answer ended early", failed.cause);
        };
    }

    /** Closes the connection of a call that ends without its answer; a conditional call delivers nothing afterwards. */
    void abandon() {
        abandoned = true;
        if (call.condition().isPresent() && !withheld) {
            connection.abort();
        } else {
            IoUtils.safeClose(connection);
        }
    }

    /** Returns whether the whole request was written; the answer may begin earlier. */
    boolean isSent() {
        return sent;
    }

    static String hostHeader(InetSocketAddress target) {
        return SocketAddresses.format(target);
    }

    private Event next(long limitMs, String timeoutText) throws HttpFailure.Lost {
        try {
            Event event = events.poll(limitMs, TimeUnit.MILLISECONDS);
            if (event == null) {
                throw new HttpFailure.Lost(timeoutText + limitMs + " ms", null);
            }
            return event;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new HttpFailure.Lost("interrupted while waiting for the answer", e);
        }
    }

    private byte[] taken(Piece piece) {
        if (queuedPieces.decrementAndGet() == RESUME_BELOW_PIECES) {
            resumeLater(source);
        }
        return piece.bytes;
    }

    private static void resumeLater(StreamSourceChannel channel) {
        channel.getIoThread().executeAfter(channel::resumeReads, READ_PAUSE_MS, TimeUnit.MILLISECONDS);
    }

    private ClientRequest request() {
        ClientRequest request = new ClientRequest()
                .setMethod(new HttpString(call.method()))
                .setPath(call.path())
                .setProtocol(Protocols.HTTP_1_1);
        HeaderMap headers = request.getRequestHeaders();
        call.headers().forEach((name, value) -> headers.put(new HttpString(name), value));
        call.deadlineHeader()
                .ifPresent(
                        d -> headers.put(new HttpString(d.name()), call.limits().totalMs() + d.extraMs()));
        if (!headers.contains(Headers.HOST)) {
            headers.put(Headers.HOST, hostHeader(call.target()));
        }
        if (call.body().size() > 0 || !"GET".equals(call.method())) {
            headers.put(Headers.CONTENT_LENGTH, call.body().size());
        }
        return request;
    }

    private void requestStarted(ClientExchange exchange) {
        exchange.setResponseListener(callback(this::answerStarted));
        StreamSinkChannel sink = exchange.getRequestChannel();
        Queue<ByteBuffer> body = new ArrayDeque<>(call.body().buffers());
        if (!body.isEmpty()) {
            sink.getWriteSetter().set(channel -> writeHead(channel, body));
            writeHead(sink, body);
        } else {
            write(sink, body);
        }
    }

    // Written with the head, a body that does not fit the socket's buffer is miscounted by Undertow's client
    // (HttpRequestConduit.write returns 0 for the part that was written), which then closes the connection's output.
    private void writeHead(StreamSinkChannel sink, Queue<ByteBuffer> body) {
        try {
            if (!sink.flush()) {
                sink.resumeWrites();
                return;
            }
        } catch (IOException e) {
            failed(e);
            return;
        }
        sink.getWriteSetter().set(channel -> write(channel, body));
        write(sink, body);
    }

    private void write(StreamSinkChannel sink, Queue<ByteBuffer> body) {
        try {
            while (!body.isEmpty()) {
                if (!body.peek().hasRemaining()) {
                    body.remove();
                } else if (sink.write(body.peek()) == 0) {
                    sink.resumeWrites();
                    return;
                }
            }
            sink.shutdownWrites();
            if (sink.flush()) {
                sent = true;
            } else {
                sink.getWriteSetter()
                        .set(ChannelListeners.flushingChannelListener(
                                channel -> sent = true, (channel, e) -> failed(e)));
                sink.resumeWrites();
            }
        } catch (IOException e) {
            failed(e);
        }
    }

    private void answerStarted(ClientExchange exchange) {
        connection.limit().received();
        int status = exchange.getResponse().getResponseCode();
        // Undertow's client skips an interim answer with status 100 only; after another one it takes the final answer
        // for content, or for that of the next call.
        Optional<AnswerHead> head = connection.answers().head().filter(h -> h.status() == status);
        if (head.isEmpty()) {
            failed(new IOException("expected the head of a final answer, found status " + status));
            return;
        }
        // An answer that is delimited only by the end of its connection cannot be distinguished from a truncated one.
        if (!call.unframedAnswer() && head.get().endsWithConnection()) {
            failed(new IOException("the answer has neither a length nor chunks"));
            return;
        }
        if (status == NOT_MODIFIED) {
            // Undertow's client waits for the content that the head describes, which is not sent.
            events.add(new Head(head.get().onClosingConnection()));
            events.add(new End());
            return;
        }
        events.add(new Head(head.get()));
        source = exchange.getResponseChannel();
        source.getReadSetter().set(this::read);
        read(source);
    }

    private void read(StreamSourceChannel channel) {
        ByteBuffer buffer = ByteBuffer.allocate(READ_BYTES);
        try {
            int count = channel.read(buffer);
            for (int reads = 1; count > 0; reads++) {
                connection.limit().received();
                contentBytes += count;
                requireParsed(contentBytes <= connection.answers().contentBytes());
                buffer.flip();
                byte[] bytes = new byte[buffer.remaining()];
                buffer.get(bytes);
                buffer.clear();
                events.add(new Piece(bytes));
                if (queuedPieces.incrementAndGet() >= MAX_QUEUED_PIECES) {
                    channel.suspendReads();
                    return;
                }
                if (reads == MAX_READS_PER_EVENT) {
                    channel.suspendReads();
                    resumeLater(channel);
                    return;
                }
                count = channel.read(buffer);
            }
            if (count < 0) {
                requireParsed(connection.answers().isComplete()
                        && contentBytes == connection.answers().contentBytes());
                events.add(new End());
            } else {
                channel.resumeReads();
            }
        } catch (IOException e) {
            failed(e);
        }
    }

    private static void requireParsed(boolean same) throws IOException {
        if (!same) {
            throw new IOException("the parsers of the answer disagree on its content");
        }
    }

    private void failed(IOException cause) {
        events.add(new Failed(cause, connection.limit().answerBegun()));
    }

    private ClientCallback<ClientExchange> callback(Consumer<ClientExchange> next) {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                next.accept(exchange);
            }

            @Override
            public void failed(IOException e) {
                Exchange.this.failed(e);
            }
        };
    }

    /** An event passed from the I/O thread to the calling thread. */
    sealed interface Event {}

    /** Nothing was written, because the call's condition does not hold. */
    private record Withheld() implements Event {}

    /** The answer's status and headers. */
    record Head(AnswerHead answer) implements Event {}

    @SuppressWarnings("ArrayRecordComponent")
    private record Piece(byte[] bytes) implements Event {}

    private record End() implements Event {}

    /** A failure; {@code answerBegun} says whether any byte of the answer had been received. */
    private record Failed(IOException cause, boolean answerBegun) implements Event {}
}

package org.magnoliabridge.http;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.magnoliabridge.memory.Content;
import org.magnoliabridge.memory.NodeMemory;
import org.magnoliabridge.memory.SharedMemory;
import org.xnio.IoUtils;

/** Makes HTTP calls with Undertow's client and keeps idle connections for reuse. */
public final class UndertowHttpCaller implements HttpCaller {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int HEAP_SHARE = 3;

    private final ConnectionPool pool;
    private final AnswerMemory memory;
    private final Optional<SharedMemory> ownMemory;

    /**
     * Starts the I/O threads; answers that are being received may occupy a third of the heap.
     *
     * @param ioThreads number of I/O threads; one is enough for several thousand calls per second
     */
    public UndertowHttpCaller(int ioThreads) {
        this(ioThreads, heapShare());
    }

    /**
     * Starts the I/O threads.
     *
     * @param maxAnswerMemoryBytes memory that answers may occupy while they are received, in bytes over all calls;
     *     beyond it the largest fails as {@link HttpFailure.TooLarge}
     */
    public UndertowHttpCaller(int ioThreads, long maxAnswerMemoryBytes) {
        SharedMemory own = AnswerMemory.privateMemory(maxAnswerMemoryBytes);
        memory = new AnswerMemory(maxAnswerMemoryBytes, own);
        ownMemory = Optional.of(own);
        pool = new ConnectionPool(ioThreads);
    }

    /**
     * Starts the I/O threads; answers that are being received are claims on the node's memory, and may occupy a third
     * of the heap together.
     */
    public UndertowHttpCaller(int ioThreads, NodeMemory nodeMemory) {
        memory = new AnswerMemory(heapShare(), nodeMemory);
        ownMemory = Optional.empty();
        pool = new ConnectionPool(ioThreads);
    }

    private static long heapShare() {
        return Runtime.getRuntime().maxMemory() / HEAP_SHARE;
    }

    @Override
    public HttpAnswer call(HttpCall call) throws HttpFailure {
        try (AnswerMemory.Body body = newBody(call)) {
            return run(call, body, body, true);
        }
    }

    @Override
    public HttpAnswer stream(HttpCall call, LineReceiver lines) throws HttpFailure {
        return runStreamed(call, new LineSplitter(lines, call.maxAnswerBytes()));
    }

    @Override
    public HttpAnswer relay(HttpCall call, PieceReceiver pieces) throws HttpFailure {
        ContentReceiver content = new ContentReceiver() {
            @Override
            public boolean head(HttpAnswer head) {
                return pieces.head(head);
            }

            @Override
            public boolean bytes(byte[] piece) {
                return pieces.piece(piece);
            }
        };
        return runStreamed(call, content);
    }

    private HttpAnswer runStreamed(HttpCall call, ContentReceiver content) throws HttpFailure {
        try (AnswerMemory.Body body = newBody(call)) {
            return run(call, content, body, false);
        }
    }

    private AnswerMemory.Body newBody(HttpCall call) {
        return memory.newBody(call.maxAnswerBytes(), call.target().getAddress().getHostAddress());
    }

    @Override
    public void close() {
        pool.close();
        ownMemory.ifPresent(SharedMemory::close);
    }

    /** Makes a call, which is sent a second time if it may be repeated and its reused connection fails first. */
    private HttpAnswer run(
            HttpCall call, ContentReceiver content, AnswerMemory.Body collected, boolean takesEveryStatus)
            throws HttpFailure {
        Deadline deadline = new Deadline(call.limits().totalMs());
        Deadline connectDeadline = new Deadline(call.limits().connectMs());
        try {
            return send(call, content, collected, takesEveryStatus);
        } catch (HttpFailure.ReusedConnectionLost e) {
            Optional<HttpCall> again = again(call, deadline, connectDeadline);
            if (again.isEmpty()) {
                throw e;
            }
            LOG.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
                    "a reused connection to %s failed before the answer (%s); sending %s %s again, %d ms left",
                    call.target(),
                    e.getCause().getMessage(),
                    call.method(),
                    call.path(),
                    again.get().limits().totalMs());
            return sendAgain(again.get(), content, collected, takesEveryStatus);
        }
    }

    // The call is written within its time limit for connecting, also the second time; the caller may rely on that.
    private static Optional<HttpCall> again(HttpCall call, Deadline deadline, Deadline connectDeadline) {
        HttpLimits limits = call.limits();
        long totalMs = deadline.atMost(limits.totalMs());
        long connectMs = connectDeadline.atMost(totalMs);
        boolean stopped = Thread.currentThread().isInterrupted();
        return call.reuse() != HttpCall.Reuse.REPEAT || connectMs < 1 || stopped
                ? Optional.empty()
                : Optional.of(call.onFreshConnection()
                        .withLimits(new HttpLimits(connectMs, limits.firstByteMs(), limits.progressMs(), totalMs)));
    }

    // The server may have executed the first request, so this call is never reported as not sent.
    private HttpAnswer sendAgain(
            HttpCall call, ContentReceiver content, AnswerMemory.Body collected, boolean takesEveryStatus)
            throws HttpFailure {
        try {
            return send(call, content, collected, takesEveryStatus);
        } catch (HttpFailure.NotSent e) {
            throw new HttpFailure.Lost("the reused connection failed before the answer, then " + e.getMessage(), e);
        }
    }

    /** Sends a call once; collects the answer if its status means that it is not passed to the receiver. */
    private HttpAnswer send(
            HttpCall call, ContentReceiver content, AnswerMemory.Body collected, boolean takesEveryStatus)
            throws HttpFailure {
        Deadline deadline = new Deadline(call.limits().totalMs());
        LimitedConnection connection = pool.connection(call, deadline);
        Exchange exchange = new Exchange(connection, call);
        boolean complete = false;
        boolean keepAlive = false;
        OptionalLong idleLimitMs = OptionalLong.empty();
        try {
            exchange.start();
            AnswerHead head = exchange.awaitHead(deadline.atMost(call.limits().firstByteMs()));
            boolean toReceiver = head.status() == 200 || takesEveryStatus;
            ContentReceiver receiver = toReceiver ? content : collected;
            HttpAnswer begun = new HttpAnswer(head.status(), head.headers(), Content.EMPTY);
            keepAlive = call.answerCheck().check(begun) && head.persistent();
            complete = receiver.head(begun) && receive(exchange, receiver, call, deadline) && exchange.isSent();
            idleLimitMs = head.idleLimitMs();
            return new HttpAnswer(begun.status(), begun.headers(), collected.toContent());
        } finally {
            if (!complete) {
                exchange.abandon();
            } else if (keepAlive) {
                pool.release(call.target(), connection, idleLimitMs);
            } else {
                IoUtils.safeClose(connection);
            }
        }
    }

    /** Receives the content; returns false if the receiver stopped before the answer was complete. */
    private static boolean receive(Exchange exchange, ContentReceiver receiver, HttpCall call, Deadline deadline)
            throws HttpFailure {
        byte[] bytes = exchange.awaitContent(deadline.atMost(call.limits().progressMs()));
        while (bytes != null) {
            if (!receiver.bytes(bytes)) {
                return false;
            }
            bytes = exchange.awaitContent(deadline.atMost(call.limits().progressMs()));
        }
        return receiver.end();
    }

    /** Receives the content of an answer piece by piece. */
    interface ContentReceiver {
        /** Called with the status and headers; returns false to stop. */
        default boolean head(HttpAnswer head) {
            return true;
        }

        /** Called with each piece; returns false to stop. */
        boolean bytes(byte[] piece) throws HttpFailure;

        /** Called at the end of the content; returns false to stop. */
        default boolean end() {
            return true;
        }
    }

    /** The time limit of a whole call. */
    static final class Deadline {
        private final long endNanos;

        Deadline(long totalMs) {
            endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(totalMs);
        }

        /** Returns the remaining time in milliseconds, at most {@code limitMs} and at least 0. */
        long atMost(long limitMs) {
            long leftMs = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
            return Math.max(0, Math.min(limitMs, leftMs));
        }
    }
}

package org.magnoliabridge.edge;

import com.google.common.flogger.FluentLogger;
import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpContinue;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.magnoliabridge.calls.Cancellation;
import org.magnoliabridge.calls.Failure;
import org.magnoliabridge.memory.Content;
import org.magnoliabridge.memory.Holding;
import org.magnoliabridge.memory.MemoryClaim;
import org.magnoliabridge.memory.NodeMemory;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads one request body; runs on the connection's I/O thread, except for the calls of the claim's owner, which are
 * passed to it.
 *
 * <p>The claim is closed when the body is refused, or when its exchange has ended and its handler has returned.
 */
final class BodyRead implements MemoryClaim.Owner {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int MIN_BLOCK_BYTES = 4 * 1024;
    private static final int MAX_BLOCK_BYTES = 64 * 1024;
    // What a body without a length claims at first and at a time.
    private static final long MIN_STEP_BYTES = 64 * 1024;
    private static final long MAX_STEP_BYTES = 1024 * 1024;
    private static final long RETRY_AFTER_MS = 1_000;
    // A request that runs is not stalled, however long it takes; claims count as stalled after 1 s.
    private static final long RUNNING_PROGRESS_MS = 500;
    // Other connections share the I/O thread.
    private static final int MAX_READS_PER_EVENT = 64;

    private final HttpServerExchange exchange;
    private final BodyReader.Limits limits;
    private final Cancellation cancellation;
    private final BodyReader.RequestHandler service;
    private final BodyReader.RejectionHandler refusal;
    // The exchange and its handler.
    private final AtomicInteger holders = new AtomicInteger(1);
    private final List<ByteBuffer> blocks = new ArrayList<>();
    private final long announced;
    private MemoryClaim claim;
    private StreamSourceChannel channel;
    private ByteBuffer block = ByteBuffer.allocate(0);
    private State state = State.WAITING;
    private boolean begun;
    private long received;
    private long granted;
    private long requested;
    private long progressNanos;
    private volatile XnioExecutor.Key timer;

    private enum State {
        /** Room was requested; nothing is read. */
        WAITING,
        READING,
        /** The request runs, or was refused, or its connection is closed. */
        ENDED
    }

    BodyRead(
            HttpServerExchange exchange,
            BodyReader.Limits limits,
            Cancellation cancellation,
            BodyReader.RequestHandler service,
            BodyReader.RejectionHandler refusal) {
        this.exchange = exchange;
        this.limits = limits;
        this.cancellation = cancellation;
        this.service = service;
        this.refusal = refusal;
        announced = exchange.getRequestContentLength();
    }

    /** Claims room and then reads. */
    void start(NodeMemory memory) {
        claim = memory.open(
                Holding.REQUEST_BODY, exchange.getSourceAddress().getAddress().getHostAddress(), this);
        exchange.addExchangeCompleteListener((ended, next) -> {
            release();
            if (ended.isInIoThread()) {
                endWithExchange();
            } else {
                post(this::endWithExchange);
            }
            next.proceed();
        });
        cancellation.onCancel(() -> post(() ->
                refuseUnlessEnded(Cancellation.failure(cancellation.reason().orElseThrow()))));
        channel = exchange.getRequestChannel();
        channel.getReadSetter().set(ready -> read());
        request(announced >= 0 ? announced : Math.min(MIN_STEP_BYTES, limits.maxBytes()));
    }

    @Override
    public void granted() {
        post(this::onGranted);
    }

    @Override
    public void refused() {
        post(() -> refuseUnlessEnded(new Failure.Overloaded(RETRY_AFTER_MS)));
    }

    // A request that runs keeps its bytes: whether it has run could not be told.
    @Override
    public void evicted() {
        post(() -> refuseUnlessEnded(new Failure.Overloaded(RETRY_AFTER_MS)));
    }

    private void post(Runnable task) {
        try {
            exchange.getIoThread().execute(task);
        } catch (RejectedExecutionException e) {
            LOG.atFine().withCause(e).log("the server has stopped and closes the connection itself");
        }
    }

    private void refuseUnlessEnded(Failure failure) {
        if (state != State.ENDED) {
            refuse(failure);
        }
    }

    private void request(long bytes) {
        state = State.WAITING;
        requested = bytes;
        if (bytes == 0) {
            onGranted();
            return;
        }
        channel.suspendReads();
        claim.request(bytes);
    }

    private void onGranted() {
        if (state != State.WAITING) {
            return;
        }
        state = State.READING;
        granted += requested;
        progressNanos = System.nanoTime();
        BodyConduit.of(exchange).setWanted(true);
        if (begun) {
            read();
            return;
        }
        begun = true;
        checkStall();
        if (HttpContinue.requiresContinueResponse(exchange)) {
            HttpContinue.sendContinueResponse(exchange, new Continued());
        } else {
            read();
        }
    }

    private void read() {
        if (state != State.READING) {
            return;
        }
        long before = received;
        try {
            readSome();
        } catch (IOException e) {
            refuse(new Failure.MalformedRequest("the body ended early"));
        }
        if (received > before && state != State.ENDED) {
            progressNanos = System.nanoTime();
            claim.progress();
        }
    }

    private void readSome() throws IOException {
        for (int reads = 0; reads < MAX_READS_PER_EVENT; reads++) {
            if (!block.hasRemaining() && !addBlock()) {
                request(Math.min(
                        Math.min(Math.max(granted, MIN_STEP_BYTES), MAX_STEP_BYTES), limits.maxBytes() - granted));
                return;
            }
            int count = channel.read(block);
            if (count < 0) {
                complete();
                return;
            }
            if (count == 0) {
                channel.resumeReads();
                return;
            }
            received += count;
            if (received > limits.maxBytes()) {
                refuse(new Failure.TooLarge(limits.maxBytes()));
                return;
            }
        }
        channel.resumeReads();
    }

    // The end of a body is known only after a read behind its last byte.
    private boolean addBlock() {
        boolean end = received == announced || received == limits.maxBytes();
        if (!end && received == granted) {
            return false;
        }
        long size = end ? 1 : Math.min(granted - received, Math.clamp(received, MIN_BLOCK_BYTES, MAX_BLOCK_BYTES));
        block = ByteBuffer.allocate((int) size);
        blocks.add(block);
        return true;
    }

    private void complete() {
        state = State.ENDED;
        channel.suspendReads();
        removeTimer();
        holders.incrementAndGet();
        List<ByteBuffer> all = blocks.stream()
                .map(ByteBuffer::flip)
                .filter(ByteBuffer::hasRemaining)
                .toList();
        dropBlocks();
        keepRunning();
        BodyReader.serve(
                exchange, new ReceivedBody(Content.of(all), claim::close), cancellation, service, this::release);
    }

    private void refuse(Failure failure) {
        state = State.ENDED;
        channel.suspendReads();
        if (failure instanceof Failure.Overloaded) {
            BodyConduit.of(exchange).dropRest((announced < 0 ? limits.maxBytes() : announced) - received);
        } else {
            BodyConduit.of(exchange).setWanted(false);
        }
        removeTimer();
        dropBlocks();
        claim.close();
        exchange.setPersistent(false);
        exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
        refusal.refuse(exchange, failure);
    }

    private void endWithExchange() {
        if (state != State.ENDED) {
            state = State.ENDED;
            dropBlocks();
        }
    }

    private void release() {
        if (holders.decrementAndGet() == 0) {
            removeTimer();
            claim.close();
        }
    }

    private void dropBlocks() {
        blocks.clear();
        block = ByteBuffer.allocate(0);
    }

    private void checkStall() {
        long leftMs = limits.stallMs() - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - progressNanos);
        if (state == State.READING && leftMs <= 0) {
            refuse(new Failure.BodyStalled(limits.stallMs()));
        } else if (state != State.ENDED) {
            timer = after(this::checkStall, state == State.READING ? leftMs : limits.stallMs());
        }
    }

    private void keepRunning() {
        if (holders.get() > 0) {
            claim.progress();
            timer = after(this::keepRunning, RUNNING_PROGRESS_MS);
        }
    }

    private XnioExecutor.Key after(Runnable task, long delayMs) {
        return exchange.getIoThread().executeAfter(task, delayMs, TimeUnit.MILLISECONDS);
    }

    private void removeTimer() {
        XnioExecutor.Key key = timer;
        if (key != null) {
            key.remove();
        }
    }

    /** Begins to read once the caller was told to send its body. */
    private final class Continued implements IoCallback {
        @Override
        public void onComplete(HttpServerExchange continued, Sender sender) {
            read();
        }

        @Override
        public void onException(HttpServerExchange continued, Sender sender, IOException e) {
            refuseUnlessEnded(new Failure.MalformedRequest("the body ended early"));
        }
    }
}

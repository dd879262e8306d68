package org.magnoliabridge.edge;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.util.concurrent.TimeUnit;
import org.magnoliabridge.calls.Cancellation;
import org.magnoliabridge.calls.Failure;
import org.magnoliabridge.memory.Content;
import org.magnoliabridge.memory.NodeMemory;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/**
 * Reads request bodies on the I/O thread within a node's memory, then dispatches each request to a virtual thread.
 *
 * <p>A body claims its room before it is read; nothing is read of one that waits. After a refusal the connection is
 * closed.
 */
public final class BodyReader {
    private final NodeMemory memory;

    /** Creates a reader of bodies that claim their bytes of a node's memory. */
    public BodyReader(NodeMemory memory) {
        this.memory = memory;
    }

    /** Serves a request whose body was read completely; runs on a virtual thread. */
    @FunctionalInterface
    public interface RequestHandler {
        /**
         * Serves the request.
         *
         * @param cancellation cancelled when the caller closes its connection
         */
        void serve(HttpServerExchange exchange, ReceivedBody body, Cancellation cancellation);
    }

    /** Rejects a request whose body is not read completely; runs on the I/O thread. */
    @FunctionalInterface
    public interface RejectionHandler {
        /** Answers the request with a failure; the request has not been executed. */
        void refuse(HttpServerExchange exchange, Failure failure);
    }

    /**
     * Limits of one body.
     *
     * @param maxBytes maximum size; a larger body is refused
     * @param stallMs how long it may make no progress, in milliseconds
     */
    public record Limits(long maxBytes, long stallMs) {}

    /**
     * Reads the body of a request, and calls exactly one of the handlers unless the caller closes its connection.
     *
     * @param cancellation refuses the request while its body arrives, and then cancels its call
     */
    public void read(
            HttpServerExchange exchange,
            Limits limits,
            Cancellation cancellation,
            RequestHandler service,
            RejectionHandler refusal) {
        if (exchange.getRequestContentLength() > limits.maxBytes()) {
            exchange.setPersistent(false);
            exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
            BodyConduit.install(exchange);
            refusal.refuse(exchange, new Failure.TooLarge(limits.maxBytes()));
        } else if (exchange.isRequestComplete()) {
            serve(exchange, new ReceivedBody(Content.EMPTY, () -> {}), cancellation, service, () -> {});
        } else {
            BodyConduit.install(exchange);
            BodyRead read = new BodyRead(exchange, limits, cancellation, service, refusal);
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> read.start(memory));
        }
    }

    /** Dispatches a request whose body is complete; called on the I/O thread. */
    static void serve(
            HttpServerExchange exchange,
            ReceivedBody body,
            Cancellation cancellation,
            RequestHandler service,
            Runnable served) {
        ConnectionCloseDetector.start(exchange, () -> cancellation.cancel(Cancellation.Reason.CALLER_GONE));
        exchange.dispatch(task -> Thread.ofVirtual().name("caller").start(task), later -> {
            try {
                service.serve(later, body, cancellation);
            } finally {
                served.run();
            }
        });
    }

    /** Closes the connection if the exchange has not completed within {@code limitMs} milliseconds. */
    public static void closeAfter(HttpServerExchange exchange, long limitMs) {
        XnioExecutor.Key key = exchange.getIoThread()
                .executeAfter(() -> IoUtils.safeClose(exchange.getConnection()), limitMs, TimeUnit.MILLISECONDS);
        exchange.addExchangeCompleteListener((ended, next) -> {
            key.remove();
            next.proceed();
        });
    }
}

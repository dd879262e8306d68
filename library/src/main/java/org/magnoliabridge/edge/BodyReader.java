package org.magnoliabridge.edge;

import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.util.concurrent.TimeUnit;
import org.magnoliabridge.calls.Cancellation;
import org.magnoliabridge.calls.Failure;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/** Reads a request body on the I/O thread, then dispatches the request to a virtual thread. */
public final class BodyReader {
    private BodyReader() {}

    /** Serves a request whose body was read completely; runs on a virtual thread. */
    @FunctionalInterface
    public interface RequestHandler {
        /**
         * Serves the request.
         *
         * @param cancellation cancelled when the caller closes its connection
         */
        void serve(HttpServerExchange exchange, byte[] body, Cancellation cancellation);
    }

    /** Rejects a request whose body is too large or truncated; runs on the I/O thread. */
    @FunctionalInterface
    public interface RejectionHandler {
        /** Answers the request with a failure; the request has not been executed. */
        void refuse(HttpServerExchange exchange, Failure failure);
    }

    /**
     * Reads the body of a request.
     *
     * @param maxBytes maximum body size; a larger body is rejected and its connection closed
     */
    public static void read(
            HttpServerExchange exchange, long maxBytes, RequestHandler service, RejectionHandler refusal) {
        if (exchange.getRequestContentLength() > maxBytes) {
            // The rest of the body is not read, so the connection can't be reused.
            exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
            refusal.refuse(exchange, new Failure.TooLarge(maxBytes));
            return;
        }
        Receiver receiver = exchange.getRequestReceiver();
        receiver.setMaxBufferSize((int) Math.min(maxBytes, Integer.MAX_VALUE));
        receiver.receiveFullBytes(
                (ex, body) -> {
                    Cancellation cancellation = new Cancellation();
                    ConnectionCloseDetector.start(ex, () -> cancellation.cancel(Cancellation.Reason.CALLER_GONE));
                    ex.dispatch(
                            task -> Thread.ofVirtual().name("caller").start(task),
                            later -> service.serve(later, body, cancellation));
                },
                (ex, e) -> {
                    ex.getResponseHeaders().put(Headers.CONNECTION, "close");
                    boolean large = e instanceof Receiver.RequestToLargeException;
                    refusal.refuse(
                            ex,
                            large
                                    ? new Failure.TooLarge(maxBytes)
                                    : new Failure.MalformedRequest("the body ended early"));
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

package org.magnoliabridge.edge;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;

/**
 * Limits what the server reads of request bodies that no handler reads: up to 64 KiB for up to 1 s, after which the
 * connection is closed if the body has not ended. Bodies read by {@link BodyReader} have the limits given to it.
 */
public final class UnreadBodies implements HttpHandler {
    private final HttpHandler next;

    /** Creates the handler before the one that answers. */
    public UnreadBodies(HttpHandler next) {
        this.next = next;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
        BodyConduit.install(exchange);
        next.handleRequest(exchange);
    }

    /** Announces that the connection closes, if the body of the request that is refused is too large to be dropped. */
    public static void announceClose(HttpServerExchange exchange) {
        if (!exchange.isRequestComplete() && exchange.getRequestContentLength() > BodyConduit.MAX_DROPPED_BYTES) {
            exchange.setPersistent(false);
        }
    }
}

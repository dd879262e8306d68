package org.magnoliabridge.edge;

import io.undertow.server.Connectors;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;

/**
 * Decides for all answers of the servers how a caller tells the end of a whole answer from a cut: by its length, or by
 * its last chunk (RFC 9112, section 6). The end of the connection never marks the end of an answer, because the kernel
 * ends the connections of a killed process in the same orderly way as those of an answer that is complete.
 *
 * <p>The HTTP server alone would end an answer without a length by closing its connection whenever it does not keep it:
 * if the caller asked for that, while the node drains, and in HTTP/1.0.
 */
public final class AnswerFraming implements HttpHandler {
    private static final String CHUNKED = "chunked";

    private final HttpHandler next;

    /** Creates the handler before the one that answers. */
    public AnswerFraming(HttpHandler next) {
        this.next = next;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
        exchange.addResponseCommitListener(AnswerFraming::frame);
        next.handleRequest(exchange);
    }

    /** Returns whether the caller understands an answer whose length is not known when it begins. */
    static boolean allowsChunks(HttpServerExchange exchange) {
        return exchange.isHttp11();
    }

    // Called before the head is written; what it throws is answered with status 500.
    private static void frame(HttpServerExchange exchange) {
        HeaderMap headers = exchange.getResponseHeaders();
        boolean framed = headers.contains(Headers.CONTENT_LENGTH) || headers.contains(Headers.TRANSFER_ENCODING);
        boolean hasBody = Connectors.isEntityBodyAllowed(exchange)
                && !exchange.getRequestMethod().equals(Methods.HEAD);
        if (framed || !hasBody) {
            return;
        }
        if (!allowsChunks(exchange)) {
            throw new IllegalStateException(
                    "an answer in " + exchange.getProtocol() + " needs a length before it is written");
        }
        headers.put(Headers.TRANSFER_ENCODING, CHUNKED);
    }
}

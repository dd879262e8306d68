package org.magnoliabridge.edge;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.magnoliabridge.calls.FailureAnswer;

/** Writes the answer to a caller; each method blocks until the bytes are passed to the network. */
final class Reply {
    static final String JSON_TYPE = "application/json";
    private static final String RETRY_AFTER = "retry-after";
    private static final long MS_PER_SECOND = 1_000;

    private final HttpServerExchange exchange;
    private OutputStream stream;
    private int status;

    Reply(HttpServerExchange exchange) {
        this.exchange = exchange;
    }

    /** Returns the value of the header Retry-After, whole seconds. */
    static String retryAfter(long delayMs) {
        return Long.toString((delayMs + MS_PER_SECOND - 1) / MS_PER_SECOND);
    }

    /** Returns the status that was sent, or 0. */
    int status() {
        return status;
    }

    /** Sends a complete response. */
    void send(int code, Map<String, String> headers, byte[] body) throws IOException {
        begin(code, headers);
        boolean bodyless = exchange.getRequestMethod().toString().equals("HEAD") || code == 204 || code == 304;
        if (!bodyless) {
            exchange.setResponseContentLength(body.length);
            exchange.getOutputStream().write(body);
        }
        exchange.getOutputStream().close();
    }

    void sendJson(byte[] body) throws IOException {
        send(200, Map.of("content-type", JSON_TYPE), body);
    }

    /** Sends a failure as a complete response, or as an error event if a stream has started. */
    void sendFailure(FailureAnswer failure) throws IOException {
        if (stream != null) {
            sendEvent(new String(failure.body(), StandardCharsets.UTF_8));
            stream.close();
            return;
        }
        Map<String, String> headers = failure.retryAfterMs() > 0
                ? Map.of("content-type", JSON_TYPE, RETRY_AFTER, retryAfter(failure.retryAfterMs()))
                : Map.of("content-type", JSON_TYPE);
        send(failure.status(), headers, failure.body());
    }

    /** Sends one event of a stream; the first one starts the stream. */
    void sendEvent(String data) throws IOException {
        if (stream == null) {
            begin(200, Map.of("content-type", "text/event-stream", "cache-control", "no-store"));
            stream = exchange.getOutputStream();
        }
        stream.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
        stream.flush();
    }

    /** Ends a stream. */
    void endStream() throws IOException {
        stream.close();
    }

    private void begin(int code, Map<String, String> headers) {
        status = code;
        exchange.setStatusCode(code);
        headers.forEach((name, value) -> exchange.getResponseHeaders().put(new HttpString(name), value));
        if (!exchange.getResponseHeaders().contains(Headers.CONTENT_TYPE)) {
            exchange.getResponseHeaders().put(new HttpString("x-content-type-options"), "nosniff");
        }
        exchange.startBlocking();
    }
}

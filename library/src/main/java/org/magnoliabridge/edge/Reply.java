package org.magnoliabridge.edge;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import org.magnoliabridge.calls.FailureAnswer;
import org.magnoliabridge.memory.Content;
import org.magnoliabridge.memory.NodeMemory;

/** Writes the answer to a caller; each method blocks until the bytes are passed to the network. */
final class Reply {
    static final String JSON_TYPE = "application/json";
    private static final String RETRY_AFTER = "retry-after";
    private static final long MS_PER_SECOND = 1_000;

    private static final int OK = 200;
    private static final Map<String, String> EVENT_STREAM =
            Map.of("content-type", "text/event-stream", "cache-control", "no-store");

    private final HttpServerExchange exchange;
    private final NodeMemory memory;
    private Optional<StreamedAnswer> stream = Optional.empty();
    private int status;

    Reply(HttpServerExchange exchange, NodeMemory memory) {
        this.exchange = exchange;
        this.memory = memory;
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
        send(code, headers, Content.of(body));
    }

    private void send(int code, Map<String, String> headers, Content body) throws IOException {
        begin(code, headers);
        boolean bodyless = exchange.getRequestMethod().toString().equals("HEAD") || code == 204 || code == 304;
        if (!bodyless) {
            exchange.setResponseContentLength(body.size());
            body.newInputStream().transferTo(exchange.getOutputStream());
        }
        exchange.getOutputStream().close();
    }

    void sendJson(byte[] body) throws IOException {
        send(200, Map.of("content-type", JSON_TYPE), body);
    }

    /** Sends a failure as a complete response, or as an error event if a stream has started. */
    void sendFailure(FailureAnswer failure) throws IOException {
        if (stream.isPresent()) {
            switch (stream.get()) {
                case StreamedAnswer.Sent sent -> {
                    sendEvent(new String(failure.body(), StandardCharsets.UTF_8));
                    sent.end();
                    return;
                }
                case StreamedAnswer.Held held -> held.close();
            }
        }
        Map<String, String> headers = failure.retryAfterMs() > 0
                ? Map.of("content-type", JSON_TYPE, RETRY_AFTER, retryAfter(failure.retryAfterMs()))
                : Map.of("content-type", JSON_TYPE);
        send(failure.status(), headers, failure.body());
    }

    /** Sends one event of a stream; the first one starts the stream. */
    void sendEvent(String data) throws IOException {
        if (stream.isEmpty()) {
            stream = Optional.of(StreamedAnswer.begin(exchange, memory));
            if (stream.get() instanceof StreamedAnswer.Sent) {
                putHead(OK, EVENT_STREAM);
            }
        }
        stream.get().write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
    }

    /** Ends a stream. */
    void endStream() throws IOException {
        switch (stream.orElseThrow()) {
            case StreamedAnswer.Sent sent -> sent.end();
            case StreamedAnswer.Held held -> {
                try (held) {
                    send(OK, EVENT_STREAM, held.content());
                }
            }
        }
    }

    private void begin(int code, Map<String, String> headers) {
        putHead(code, headers);
        exchange.startBlocking();
    }

    private void putHead(int code, Map<String, String> headers) {
        status = code;
        exchange.setStatusCode(code);
        headers.forEach((name, value) -> exchange.getResponseHeaders().put(new HttpString(name), value));
        if (!exchange.getResponseHeaders().contains(Headers.CONTENT_TYPE)) {
            exchange.getResponseHeaders().put(new HttpString("x-content-type-options"), "nosniff");
        }
    }
}

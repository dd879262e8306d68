package org.magnoliabridge.edge;

import com.codahale.metrics.Timer;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.magnoliabridge.bundle.Bundle;
import org.magnoliabridge.calls.CallException;
import org.magnoliabridge.calls.Cancellation;
import org.magnoliabridge.calls.ExecutionStatus;
import org.magnoliabridge.calls.Failure;
import org.magnoliabridge.calls.FailureAnswer;
import org.magnoliabridge.calls.Spans;
import org.magnoliabridge.calls.TraceContext;
import org.magnoliabridge.ids.InvalidIdException;
import org.magnoliabridge.ids.RequestId;
import org.magnoliabridge.keys.CallerKey;
import org.magnoliabridge.keys.CallerRequest;
import org.magnoliabridge.keys.MalformedRequestException;
import org.magnoliabridge.memory.Content;
import org.xnio.IoUtils;

/** Reads caller requests on the I/O thread, serves them on virtual threads and formats all failures alike. */
final class CallerHandler implements HttpHandler {
    private static final Logger LOG = Logger.getLogger(CallerHandler.class.getName());
    private static final HttpString REQUEST_ID = new HttpString("X-Request-Id");
    private static final HttpString TRACEPARENT = new HttpString("traceparent");
    private static final HttpString DEADLINE = new HttpString("X-Deadline-Ms");
    // Applies until a bundle is accepted; until then only open routes respond, and none of them takes a body.
    private static final int DEFAULT_MAX_BODY_BYTES = 64 * 1024;
    private static final long MAX_DEADLINE_MS = 15 * 60_000;
    private static final long DEFAULT_TIME_LIMIT_MS = 60_000;
    // Time after the deadline to write the answer, before a connection whose caller does not read is closed.
    private static final long WRITE_MARGIN_MS = 5_000;

    private final EdgeDependencies dependencies;
    private final DrainGate gate;
    private final BodyReader bodies;
    private final Timer timer;
    private final ChatRoute chat;
    private final PlainRoute plain;
    private final RolloutRoutes rollouts;
    private final AddressRoute addresses;

    CallerHandler(EdgeDependencies dependencies, DrainGate gate, ActiveCalls activeCalls) {
        this.dependencies = dependencies;
        this.gate = gate;
        bodies = new BodyReader(dependencies.memory());
        timer = dependencies.metrics().timer("edge.requests");
        chat = new ChatRoute(dependencies, activeCalls);
        plain = new PlainRoute(dependencies);
        rollouts = new RolloutRoutes(dependencies);
        addresses = new AddressRoute(dependencies.addresses());
    }

    /** A request whose body has not been read yet. */
    private record RequestStart(RequestId id, Spans.Span span, long startMs) {}

    /** A request whose body was read completely. */
    private record ReceivedRequest(RequestStart start, Content body, Optional<Long> limitMs) {}

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        RequestId id = requestId(exchange);
        exchange.getResponseHeaders().put(REQUEST_ID, id.value());
        if (exchange.getRequestPath().equals("/healthz")) {
            sendHealth(exchange);
            return;
        }
        Spans.Span span = dependencies
                .spans()
                .start("caller", TraceContext.parse(exchange.getRequestHeaders().getFirst(TRACEPARENT)));
        exchange.getResponseHeaders().put(TRACEPARENT, span.context().traceparent());
        RequestStart start = new RequestStart(id, span, dependencies.clock().nowMs());
        if (!gate.tryEnter()) {
            exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
            refuse(exchange, start, new Failure.Draining());
            return;
        }
        OpenRequest open = new OpenRequest(gate);
        exchange.addExchangeCompleteListener((ended, next) -> {
            open.release();
            timer.update(dependencies.clock().nowMs() - start.startMs(), TimeUnit.MILLISECONDS);
            next.proceed();
        });
        readBody(exchange, start, open);
    }

    private void sendHealth(HttpServerExchange exchange) {
        DrainGate.State state = gate.state();
        exchange.setStatusCode(state == DrainGate.State.ACCEPTING ? 200 : 503);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, Reply.JSON_TYPE);
        exchange.getResponseSender().send("{\"state\":\"" + state.name().toLowerCase(Locale.ROOT) + "\"}");
    }

    private void readBody(HttpServerExchange exchange, RequestStart start, OpenRequest open) {
        int maxBytes = dependencies
                .config()
                .get()
                .bundle()
                .map(Bundle::bounds)
                .map(b -> b.maxBodyBytes())
                .orElse(DEFAULT_MAX_BODY_BYTES);
        Optional<Long> limitMs;
        try {
            limitMs = deadline(exchange);
        } catch (CallException e) {
            refuse(exchange, start, e.failure());
            return;
        }
        // Limits slow uploads and callers that stop reading, so that neither delays a drain indefinitely.
        BodyReader.closeAfter(exchange, limitMs.orElse(DEFAULT_TIME_LIMIT_MS) + WRITE_MARGIN_MS);
        bodies.read(
                exchange,
                new BodyReader.Limits(maxBytes, DEFAULT_TIME_LIMIT_MS),
                new Cancellation(),
                (ex, body, cancellation) ->
                        serveIfOpen(ex, open, new ReceivedRequest(start, body.content(), limitMs), cancellation),
                (ex, failure) -> refuse(ex, start, failure));
    }

    private void serveIfOpen(
            HttpServerExchange exchange, OpenRequest open, ReceivedRequest received, Cancellation cancellation) {
        if (!open.tryRetain()) {
            // The caller closed the connection before the request was handled.
            end(received.start(), "caller_gone");
            return;
        }
        try {
            serve(exchange, received, cancellation);
        } finally {
            open.release();
        }
    }

    private void serve(HttpServerExchange exchange, ReceivedRequest received, Cancellation cancellation) {
        RequestStart start = received.start();
        Reply reply = new Reply(exchange, dependencies.memory());
        String outcome = "ok";
        try {
            try {
                route(request(exchange, received), reply, cancellation);
            } catch (CallException e) {
                FailureAnswer failure = FailureAnswer.of(e);
                outcome = failure.type();
                reply.sendFailure(failure);
            } catch (RuntimeException e) {
                LOG.log(Level.SEVERE, "request " + start.id() + " failed unexpectedly", e);
                outcome = "internal";
                reply.sendFailure(
                        FailureAnswer.of(new Failure.BackEndFailed("the node failed"), ExecutionStatus.UNKNOWN));
            }
        } catch (IOException e) {
            LOG.log(Level.FINE, "the caller of request " + start.id() + " closed the connection", e);
            outcome = "caller_gone";
            cancellation.cancel(Cancellation.Reason.CALLER_GONE);
            IoUtils.safeClose(exchange.getConnection());
        }
        end(start, outcome);
    }

    private void end(RequestStart start, String outcome) {
        dependencies.metrics().counter("edge.answers." + outcome).inc();
        start.span().end(outcome);
    }

    private void route(EdgeRequest request, Reply reply, Cancellation cancellation) throws CallException, IOException {
        SafePath.check(request.path());
        String call = request.method() + " " + request.path();
        if (call.equals("POST /v1/chat/completions")) {
            chat.handle(request, reply, cancellation);
        } else if (request.path().startsWith(PlainRoute.PREFIX)) {
            plain.handle(request, reply, cancellation);
        } else if (request.path().startsWith(RolloutRoutes.PREFIX)) {
            rollouts.handle(request, reply);
        } else if (call.equals("GET " + AddressRoute.PATH)) {
            addresses.handle(request, reply);
        } else {
            throw CallException.notRun(new Failure.NotFound("the route"));
        }
    }

    private EdgeRequest request(HttpServerExchange exchange, ReceivedRequest received) throws CallException {
        RequestStart start = received.start();
        List<CallerRequest.Header> headers = new ArrayList<>();
        exchange.getRequestHeaders()
                .forEach(values -> values.forEach(value -> headers.add(
                        new CallerRequest.Header(values.getHeaderName().toString(), value))));
        CallerKey key;
        try {
            key = CallerKey.extract(new CallerRequest(
                    headers, exchange.getQueryString(), received.body().toArray()));
        } catch (MalformedRequestException e) {
            Failure failure = e.part() == MalformedRequestException.Part.ENCODING
                    ? new Failure.UnsupportedMediaType("without a content encoding")
                    : new Failure.MalformedRequest(e.getMessage());
            throw new CallException(failure, ExecutionStatus.NOT_RUN, e);
        }
        // Undertow strips path parameters from the request path; they are detected in the raw URI and rejected.
        String path = exchange.getRequestURI().contains(";") ? ";" : exchange.getRequestPath();
        if (key.text().filter(path::contains).isPresent()) {
            throw ChatBody.malformed("the key must not be part of the path");
        }
        return new EdgeRequest(
                exchange.getRequestMethod().toString(),
                path,
                key.text(),
                key.stripped(),
                start.id(),
                received.limitMs().map(ms -> start.startMs() + ms),
                start.span().context(),
                exchange.getSourceAddress().getAddress().getHostAddress());
    }

    /** Rejects a request whose content type is not JSON. */
    static void requireJson(EdgeRequest request) throws CallException {
        String type = request.header("content-type").orElse("");
        String media = type.split(";", -1)[0].strip();
        if (!media.equalsIgnoreCase(Reply.JSON_TYPE)) {
            throw CallException.notRun(new Failure.UnsupportedMediaType(Reply.JSON_TYPE));
        }
    }

    private RequestId requestId(HttpServerExchange exchange) {
        String given = exchange.getRequestHeaders().getFirst(REQUEST_ID);
        // A key is also a valid id; a key in this header must not be forwarded or logged.
        if (given == null || given.startsWith("mb_")) {
            return dependencies.ids().get();
        }
        try {
            return RequestId.parse(given);
        } catch (InvalidIdException e) {
            return dependencies.ids().get();
        }
    }

    private static Optional<Long> deadline(HttpServerExchange exchange) throws CallException {
        String text = exchange.getRequestHeaders().getFirst(DEADLINE);
        if (text == null) {
            return Optional.empty();
        }
        if (!text.matches("\\d{1,9}") || Long.parseLong(text) < 1 || Long.parseLong(text) > MAX_DEADLINE_MS) {
            throw ChatBody.malformed("header X-Deadline-Ms must be a whole number from 1 to " + MAX_DEADLINE_MS);
        }
        return Optional.of(Long.parseLong(text));
    }

    private void refuse(HttpServerExchange exchange, RequestStart start, Failure failure) {
        FailureAnswer answer = FailureAnswer.of(failure, ExecutionStatus.NOT_RUN);
        end(start, answer.type());
        exchange.setStatusCode(answer.status());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, Reply.JSON_TYPE);
        if (answer.retryAfterMs() > 0) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, Reply.retryAfter(answer.retryAfterMs()));
        }
        exchange.getResponseSender().send(ByteBuffer.wrap(answer.body()));
    }
}

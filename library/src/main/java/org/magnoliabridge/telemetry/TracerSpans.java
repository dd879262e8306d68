package org.magnoliabridge.telemetry;

import io.opentelemetry.api.trace.SpanBuilder;
import io.opentelemetry.api.trace.SpanContext;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.api.trace.TraceFlags;
import io.opentelemetry.api.trace.TraceState;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.context.Context;
import java.util.HexFormat;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.magnoliabridge.calls.Spans;
import org.magnoliabridge.calls.TraceContext;

/** Records spans with a tracer; with a no-op tracer it still propagates trace ids from hop to hop. */
public final class TracerSpans implements Spans {
    private static final String OK = "ok";

    private final Tracer tracer;

    public TracerSpans(Tracer tracer) {
        this.tracer = tracer;
    }

    @Override
    public Span start(String name, Optional<TraceContext> parent) {
        SpanBuilder builder = tracer.spanBuilder(name);
        builder.setParent(parent.map(TracerSpans::remoteContext).orElse(Context.root()));
        io.opentelemetry.api.trace.Span span = builder.startSpan();
        SpanContext started = span.getSpanContext();
        boolean hasNewId =
                started.isValid() && !parent.map(TraceContext::spanId).equals(Optional.of(started.getSpanId()));
        TraceContext context = hasNewId
                ? new TraceContext(started.getTraceId(), started.getSpanId(), started.isSampled())
                : new TraceContext(
                        parent.map(TraceContext::traceId).orElseGet(() -> randomHex(2)),
                        randomHex(1),
                        parent.map(TraceContext::sampled).orElse(false));
        return new TracerSpan(span, context);
    }

    private static Context remoteContext(TraceContext parent) {
        SpanContext remote = SpanContext.createFromRemoteParent(
                parent.traceId(),
                parent.spanId(),
                parent.sampled() ? TraceFlags.getSampled() : TraceFlags.getDefault(),
                TraceState.getDefault());
        return Context.root().with(io.opentelemetry.api.trace.Span.wrap(remote));
    }

    // An id of all zeros is invalid; setting the lowest bit of each word rules it out.
    private static String randomHex(int words) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < words; i++) {
            text.append(HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong() | 1));
        }
        return text.toString();
    }

    private record TracerSpan(io.opentelemetry.api.trace.Span span, TraceContext context) implements Span {
        @Override
        public Span set(String name, String value) {
            span.setAttribute(name, value);
            return this;
        }

        @Override
        public void end(String outcome) {
            span.setAttribute("outcome", outcome);
            if (!outcome.equals(OK)) {
                span.setStatus(StatusCode.ERROR);
            }
            span.end();
        }
    }
}

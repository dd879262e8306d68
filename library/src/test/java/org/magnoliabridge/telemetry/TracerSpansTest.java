package org.magnoliabridge.telemetry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.opentelemetry.api.trace.TracerProvider;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.calls.TraceContext;

class TracerSpansTest {
    private static final TraceContext PARENT = new TraceContext("c".repeat(32), "d".repeat(16), true);

    /** Guards against losing the trace id at a node that records no spans. */
    @Test
    void propagatesTheTraceWithoutARecordingTracer() {
        check(new TracerSpans(TracerProvider.noop().get("test")));
    }

    @Test
    void propagatesTheTraceWithARecordingTracer() {
        try (SdkTracerProvider provider = SdkTracerProvider.builder().build()) {
            check(new TracerSpans(provider.get("test")));
        }
    }

    private static void check(TracerSpans spans) {
        TraceContext hop = spans.start("hop", Optional.of(PARENT)).context();
        assertThat(hop.traceId(), is(PARENT.traceId()));
        assertThat(hop.spanId(), is(not(PARENT.spanId())));
        TraceContext root = spans.start("root", Optional.empty()).context();
        assertThat(TraceContext.parse(root.traceparent()), is(Optional.of(root)));
    }
}

package org.magnoliabridge.calls;

import java.util.Optional;

/** Records one trace span per hop; attributes contain ids and counts, never keys or prompts. */
public interface Spans {
    /** Starts a span; without a parent it begins a new trace. */
    Span start(String name, Optional<TraceContext> parent);

    /** A span that has started. */
    interface Span {
        /** Returns the span's trace context, which is the parent of the next hop's span. */
        TraceContext context();

        /** Sets an attribute. */
        Span set(String name, String value);

        /** Ends the span; {@code outcome} is {@code ok} or a failure type. */
        void end(String outcome);
    }
}

package org.magnoliabridge.calls;

import java.util.Optional;

/** Records one span per hop; attributes are typed ids and counts, never keys or prompts. */
public interface Spans {
    /** Starts a span; without a parent it begins a new trace. */
    Span start(String name, Optional<TraceContext> parent);

    /** A running span. */
    interface Span {
        /** Returns the span's own position, the parent of the next hop. */
        TraceContext context();

        /** Sets an attribute. */
        Span set(String name, String value);

        /** Ends the span; {@code outcome} is {@code ok} or a failure type. */
        void end(String outcome);
    }
}

package org.magnoliabridge.calls;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The context of a span in a distributed trace, as transmitted in the header {@code traceparent}.
 *
 * @param traceId 32 hexadecimal digits
 * @param spanId 16 hexadecimal digits
 * @param sampled whether the trace is recorded
 */
public record TraceContext(String traceId, String spanId, boolean sampled) {
    private static final Pattern HEADER =
            Pattern.compile("(?!ff)[0-9a-f]{2}-(?!0{32})([0-9a-f]{32})-(?!0{16})([0-9a-f]{16})-([0-9a-f]{2})");

    /** Parses the header's value; empty if it is null or invalid, in which case a new trace begins. */
    public static Optional<TraceContext> parse(String header) {
        Matcher matcher = HEADER.matcher(header == null ? "" : header);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        boolean recorded = (Integer.parseInt(matcher.group(3), 16) & 1) == 1;
        return Optional.of(new TraceContext(matcher.group(1), matcher.group(2), recorded));
    }

    /** Returns the header's value. */
    public String traceparent() {
        return "00-" + traceId + "-" + spanId + (sampled ? "-01" : "-00");
    }
}

package org.magnoliabridge.edge;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.magnoliabridge.calls.TraceContext;
import org.magnoliabridge.ids.RequestId;
import org.magnoliabridge.keys.CallerRequest;

/**
 * A caller's request without its key.
 *
 * @param path the raw path, checked by {@link SafePath}
 * @param key the key as received
 * @param content headers, query and body without the key
 * @param deadlineMs on the node's monotonic clock; empty if the caller set none
 * @param trace the span of this request
 */
record EdgeRequest(
        String method,
        String path,
        Optional<String> key,
        CallerRequest content,
        RequestId id,
        Optional<Long> deadlineMs,
        TraceContext trace,
        String callerIp) {

    /** Returns the first value of each header, with names in lower case. */
    Map<String, String> headers() {
        Map<String, String> all = new TreeMap<>();
        content.headers().forEach(h -> all.putIfAbsent(h.name().toLowerCase(Locale.ROOT), h.value()));
        return all;
    }

    Optional<String> header(String name) {
        return Optional.ofNullable(headers().get(name));
    }

    byte[] body() {
        return content.body();
    }

    @Override
    public String toString() {
        return method + " " + path + " " + id;
    }
}

package org.magnoliabridge.calls;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Allow lists of headers between callers and plain services; keys and hop-by-hop headers are on neither. */
final class PlainHeaders {
    private static final Set<String> REQUEST = Set.of(
            "accept",
            "accept-language",
            "content-language",
            "content-type",
            "idempotency-key",
            "if-match",
            "if-modified-since",
            "if-none-match",
            "if-unmodified-since");
    private static final Set<String> ANSWER = Set.of(
            "cache-control",
            "content-disposition",
            "content-language",
            "content-type",
            "etag",
            "last-modified",
            "location",
            "retry-after");

    private PlainHeaders() {}

    static Map<String, String> ofRequest(Map<String, String> headers) {
        return only(REQUEST, headers);
    }

    static Map<String, String> ofAnswer(Map<String, String> headers) {
        return only(ANSWER, headers);
    }

    private static Map<String, String> only(Set<String> allowed, Map<String, String> headers) {
        Map<String, String> kept = new LinkedHashMap<>();
        headers.forEach((name, value) -> {
            if (allowed.contains(name)) {
                kept.put(name, value);
            }
        });
        return kept;
    }
}

package org.magnoliabridge.calls;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Allow lists of the headers forwarded between callers and plain services; without key and hop-by-hop headers. */
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

    static Map<String, String> filterRequest(Map<String, String> headers) {
        return filter(REQUEST, headers);
    }

    static Map<String, String> filterAnswer(Map<String, String> headers) {
        return filter(ANSWER, headers);
    }

    private static Map<String, String> filter(Set<String> allowed, Map<String, String> headers) {
        Map<String, String> filtered = new LinkedHashMap<>();
        headers.forEach((name, value) -> {
            if (allowed.contains(name)) {
                filtered.put(name, value);
            }
        });
        return filtered;
    }
}

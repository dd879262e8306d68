package org.magnoliabridge.calls;

import java.util.Map;
import java.util.Optional;
import org.magnoliabridge.ids.RequestId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.memory.Content;

/**
 * A request to a plain service, without the caller's key.
 *
 * @param path path and query, relative to the service and starting with a slash; the caller's key is removed
 * @param headers the caller's headers with names in lower case; only those on the allow list are sent
 * @param body the content, from which the caller's key is removed
 * @param idempotent whether the bundle declares the route as idempotent
 * @param maxAttempts maximum number of endpoints at which the request may run
 * @param deadlineMs on the node's monotonic clock
 * @param id the caller's request id
 * @param trace the caller's span
 */
public record PlainRequest(
        ServiceId service,
        TeamId team,
        String method,
        String path,
        Map<String, String> headers,
        Content body,
        boolean idempotent,
        int maxAttempts,
        long deadlineMs,
        RequestId id,
        Optional<TraceContext> trace) {
    /** The number of attempts for a route that defines none: the first one and one retry. */
    public static final int DEFAULT_ATTEMPTS = 2;

    public PlainRequest {
        if (maxAttempts < 1) {
            throw new IllegalArgumentException("maxAttempts must be at least 1: " + maxAttempts);
        }
        headers = Map.copyOf(headers);
    }

    /** Creates a request with its content in one array, which is not copied. */
    public PlainRequest(
            ServiceId service,
            TeamId team,
            String method,
            String path,
            Map<String, String> headers,
            byte[] body,
            boolean idempotent,
            int maxAttempts,
            long deadlineMs,
            RequestId id,
            Optional<TraceContext> trace) {
        this(service, team, method, path, headers, Content.of(body), idempotent, maxAttempts, deadlineMs, id, trace);
    }
}

package org.magnoliabridge.gateway;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.magnoliabridge.ids.RouteId;

/**
 * A route: the requests for a host under a path prefix, and how they are forwarded.
 *
 * @param host in lower case, without a port
 * @param prefix begins and ends with a slash
 * @param timeoutMs maximum time until a request is answered
 * @param targetLatencyMs time within which a response has its full value to the caller
 * @param priority 0 is the highest
 * @param services at least one
 * @param maxAttempts maximum number of endpoints that one request is sent to
 * @param open whether requests need no key
 * @param resumable whether another endpoint may resume a stream
 * @param batch the processing requirements of a {@link RouteKind#BATCH} route
 */
public record GatewayRoute(
        RouteId id,
        String host,
        String prefix,
        RouteKind kind,
        long timeoutMs,
        long targetLatencyMs,
        int priority,
        List<WeightedService> services,
        int maxAttempts,
        boolean open,
        boolean resumable,
        Optional<BatchTerms> batch) {
    public GatewayRoute {
        Objects.requireNonNull(id);
        Objects.requireNonNull(host);
        Objects.requireNonNull(kind);
        Objects.requireNonNull(batch);
        services = List.copyOf(services);
        if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
            throw new IllegalArgumentException("prefix must begin and end with a slash: " + prefix);
        }
        if (services.isEmpty()) {
            throw new IllegalArgumentException("route " + id + " has no service");
        }
        if (timeoutMs < 1 || targetLatencyMs < 1 || maxAttempts < 1) {
            throw new IllegalArgumentException("route " + id + " needs values of at least 1: timeoutMs " + timeoutMs
                    + ", targetLatencyMs " + targetLatencyMs + ", maxAttempts " + maxAttempts);
        }
        if (kind == RouteKind.BATCH && batch.isEmpty()) {
            throw new IllegalArgumentException("batch route " + id + " has no batch terms");
        }
    }

    /** Returns whether a request that may already have been executed may be sent again. */
    public boolean retryable() {
        return switch (kind) {
            case IDEMPOTENT, BATCH -> true;
            case NON_IDEMPOTENT -> false;
            case STREAM -> resumable;
        };
    }
}

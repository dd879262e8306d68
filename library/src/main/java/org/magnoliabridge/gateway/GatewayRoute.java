package org.magnoliabridge.gateway;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.magnoliabridge.ids.RouteId;

/**
 * Requests of a host under a path prefix, and how they are served.
 *
 * @param host in lower case, without a port
 * @param prefix begins and ends with a slash
 * @param timeoutMs longest time that a request is kept waiting
 * @param targetLatencyMs time within which an answer is worth its full value
 * @param priority 0 is the highest
 * @param services at least one
 * @param maxAttempts largest number of endpoints that one request is sent to
 * @param open whether requests need no key
 * @param resumable whether another endpoint may continue a stream
 * @param batch the terms of a {@link RouteKind#BATCH} route
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
            throw new IllegalArgumentException("route " + id + " has a time limit or attempts below 1");
        }
        if (kind == RouteKind.BATCH && batch.isEmpty()) {
            throw new IllegalArgumentException("batch route " + id + " has no terms");
        }
    }

    /** Returns whether a request may run again after it may have run. */
    public boolean retryable() {
        return switch (kind) {
            case IDEMPOTENT, BATCH -> true;
            case NON_IDEMPOTENT -> false;
            case STREAM -> resumable;
        };
    }
}

package org.magnoliabridge.warmup;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.ServiceId;

/**
 * Until when each endpoint counts as cold. Deterministic and not thread-safe.
 *
 * <p>Load pattern: the endpoints of a service restart one after the other while work waits, and each has all its slots
 * free at once. Its entry arrives late, and a node that has just started cannot tell a new endpoint from an old one. An
 * endpoint that may be cold therefore counts as cold, and only time ends that.
 */
final class WarmUpTable {
    // Entries expire while the store is unavailable; the same incarnation that is listed again has not restarted.
    static final long RETENTION_MS = 60_000;

    private final Map<EndpointId, Entry> entries = new HashMap<>();
    private final List<ColdEndpoint> newlyCold = new ArrayList<>();
    private Map<ServiceId, ServiceWarmUp> services = Map.of();
    private boolean listed;

    private static final class Entry {
        private ListedEndpoint endpoint;
        private long coldUntilMs = Long.MIN_VALUE;
        // Whether the endpoint was unreachable and has not answered since, so that it may start at any moment.
        private boolean unreachable;
        private long listedAtMs;

        Entry(ListedEndpoint endpoint) {
            this.endpoint = endpoint;
        }
    }

    void replaceServices(Map<ServiceId, ServiceWarmUp> current) {
        services = Map.copyOf(current);
    }

    void replaceEndpoints(long nowMs, Collection<ListedEndpoint> current) {
        for (ListedEndpoint endpoint : current) {
            Entry entry = entries.get(endpoint.id());
            if (entry == null || isRestart(entry.endpoint, endpoint)) {
                entry = new Entry(endpoint);
                entries.put(endpoint.id(), entry);
                // What is listed when this node starts has not started just now, unless its entry says so.
                long assumedMs = listed ? durationMs(endpoint.service()) : 0;
                setCold(nowMs, entry, endpoint.warmUpMs() > 0 ? endpoint.warmUpMs() : assumedMs, "it has started");
            } else if (endpoint.warmUpMs() != entry.endpoint.warmUpMs()) {
                setCold(nowMs, entry, endpoint.warmUpMs(), "its entry says so");
            }
            entry.endpoint = endpoint;
            entry.listedAtMs = nowMs;
        }
        listed = true;
        Set<EndpointId> ids = new HashSet<>();
        current.forEach(e -> ids.add(e.id()));
        entries.values().removeIf(e -> !ids.contains(e.endpoint.id()) && nowMs - e.listedAtMs > RETENTION_MS);
    }

    /** Counts the endpoints of a data centre as cold for the duration of their services. */
    void possiblyCold(long nowMs, DataCentre dataCentre) {
        for (Entry entry : entries.values()) {
            if (entry.endpoint.dataCentre().equals(dataCentre)) {
                setCold(nowMs, entry, durationMs(entry.endpoint.service()), "its data centre returns");
            }
        }
    }

    /** Records that an endpoint was not reachable: it may have ended, and start again before it is listed so. */
    void unreachable(long nowMs, EndpointId id) {
        Entry entry = entries.get(id);
        if (entry != null && limits(id).isPresent()) {
            setCold(nowMs, entry, durationMs(entry.endpoint.service()), "it was unreachable");
            entry.unreachable = true;
        }
    }

    /** Records that an endpoint has answered. */
    void answered(long nowMs, EndpointId id) {
        Entry entry = entries.get(id);
        if (entry != null && entry.unreachable) {
            entry.unreachable = false;
            setCold(nowMs, entry, durationMs(entry.endpoint.service()), "it is reachable again");
        }
    }

    /** Returns the limits of an endpoint's service; empty if it has none. */
    Optional<ServiceWarmUp> limits(EndpointId id) {
        return services.isEmpty()
                ? Optional.empty()
                : Optional.ofNullable(entries.get(id)).map(e -> services.get(e.endpoint.service()));
    }

    boolean isCold(long nowMs, EndpointId id) {
        return limits(id).isPresent() && isCold(nowMs, entries.get(id));
    }

    /** Returns when an endpoint is expected to be warm, which is now if it is. */
    long warmAtMs(long nowMs, EndpointId id) {
        if (!isCold(nowMs, id)) {
            return nowMs;
        }
        Entry entry = entries.get(id);
        long unknownMs = nowMs + durationMs(entry.endpoint.service());
        return entry.unreachable ? Math.max(unknownMs, entry.coldUntilMs) : entry.coldUntilMs;
    }

    /** Returns the number of listed endpoints that count as cold. */
    long coldEndpoints(long nowMs) {
        return entries.keySet().stream().filter(id -> isCold(nowMs, id)).count();
    }

    /** Returns the endpoints that began to count as cold since the last call, or for longer than before. */
    List<ColdEndpoint> takeNewlyCold() {
        List<ColdEndpoint> result = List.copyOf(newlyCold);
        newlyCold.clear();
        return result;
    }

    private void setCold(long nowMs, Entry entry, long forMs, String reason) {
        if (forMs > 0 && nowMs + forMs > entry.coldUntilMs) {
            if (!isCold(nowMs, entry) && services.containsKey(entry.endpoint.service())) {
                newlyCold.add(new ColdEndpoint(entry.endpoint.id(), forMs, reason));
            }
            entry.coldUntilMs = nowMs + forMs;
        }
    }

    private static boolean isCold(long nowMs, Entry entry) {
        return entry.unreachable || nowMs < entry.coldUntilMs;
    }

    private static boolean isRestart(ListedEndpoint known, ListedEndpoint current) {
        return !known.incarnation().equals(current.incarnation())
                || !known.service().equals(current.service());
    }

    private long durationMs(ServiceId service) {
        ServiceWarmUp limits = services.get(service);
        return limits == null ? 0 : limits.limits().durationMs();
    }
}

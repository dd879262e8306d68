package org.magnoliabridge.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.magnoliabridge.ids.EndpointId;

/**
 * Tracks the list of endpoints that the platform publishes.
 *
 * <p>Load pattern: entries expire while the store is unavailable, and their endpoints register again soon after it
 * recovers. Without a grace period, all endpoints would be unusable until then. A removal that is first observed after
 * an outage therefore takes effect only after {@link #RECOVERY_GRACE_MS}; any other removal takes effect immediately.
 */
public final class FleetCore {
    // Endpoints that kept running during an outage are listed again within about 2 s of the store's recovery.
    static final long RECOVERY_GRACE_MS = 2_000;

    // An endpoint is unlisted after three missed heartbeats, so a shorter outage of the store unlists none.
    static final long MIN_OUTAGE_MS = 1_500;

    private final Map<EndpointId, FleetEndpoint> endpoints = new TreeMap<>();
    private final Map<EndpointId, Long> deferredRemovalsMs = new HashMap<>();
    private List<FleetEndpoint> list = List.of();
    private boolean isLoaded;
    private boolean pollFailed;
    private long revision;
    private long lastReadMs;
    private long graceUntilMs = Long.MIN_VALUE;

    /** Handles an input; returns whether the endpoints changed. */
    public boolean on(long nowMs, FleetInput input) {
        boolean changed = apply(nowMs, input);
        if (changed) {
            list = List.copyOf(endpoints.values());
        }
        return changed;
    }

    private boolean apply(long nowMs, FleetInput input) {
        return switch (input) {
            case FleetInput.Listed listed -> applyListing(nowMs, listed);
            case FleetInput.Changed changed -> applyChanges(nowMs, changed);
            case FleetInput.StoreUnreachable unreachable -> {
                // A poll that returns no changes takes as long as an outage, so only a failed poll indicates one.
                pollFailed = true;
                yield false;
            }
            case FleetInput.Tick tick -> removeExpired(nowMs);
        };
    }

    /** Returns whether the list has been read at least once. */
    public boolean isLoaded() {
        return isLoaded;
    }

    /** Returns the store revision of the last read. */
    public long revision() {
        return revision;
    }

    /** Returns the time since the list was last known to be current, in milliseconds. */
    public long ageMs(long nowMs) {
        return nowMs - lastReadMs;
    }

    /** Returns the endpoints ordered by id, including those that are draining; the same list until they change. */
    public List<FleetEndpoint> endpoints() {
        return list;
    }

    private boolean applyListing(long nowMs, FleetInput.Listed listed) {
        recordRead(nowMs, listed.revision());
        Set<EndpointId> listedIds = new HashSet<>();
        boolean changed = false;
        for (FleetInput.Entry entry : listed.entries()) {
            listedIds.add(entry.id());
            changed |= apply(nowMs, entry);
        }
        for (EndpointId id : new ArrayList<>(endpoints.keySet())) {
            changed |= !listedIds.contains(id) && remove(nowMs, id);
        }
        boolean expired = removeExpired(nowMs);
        return changed || expired;
    }

    private boolean applyChanges(long nowMs, FleetInput.Changed changes) {
        recordRead(nowMs, changes.revision());
        boolean changed = false;
        for (FleetInput.Entry entry : changes.entries()) {
            changed |= apply(nowMs, entry);
        }
        boolean expired = removeExpired(nowMs);
        return changed || expired;
    }

    private void recordRead(long nowMs, long newRevision) {
        if (isLoaded && pollFailed && nowMs - lastReadMs >= MIN_OUTAGE_MS) {
            graceUntilMs = nowMs + RECOVERY_GRACE_MS;
        }
        isLoaded = true;
        pollFailed = false;
        revision = newRevision;
        lastReadMs = nowMs;
    }

    private boolean apply(long nowMs, FleetInput.Entry entry) {
        if (entry.endpoint().isEmpty()) {
            return remove(nowMs, entry.id());
        }
        deferredRemovalsMs.remove(entry.id());
        FleetEndpoint updated = entry.endpoint().get();
        return !updated.equals(endpoints.put(entry.id(), updated));
    }

    private boolean remove(long nowMs, EndpointId id) {
        FleetEndpoint endpoint = endpoints.get(id);
        if (endpoint == null) {
            return false;
        }
        if (nowMs < graceUntilMs && !endpoint.draining()) {
            deferredRemovalsMs.putIfAbsent(id, graceUntilMs);
            return false;
        }
        deferredRemovalsMs.remove(id);
        endpoints.remove(id);
        return true;
    }

    private boolean removeExpired(long nowMs) {
        boolean changed = false;
        for (Map.Entry<EndpointId, Long> removal :
                Map.copyOf(deferredRemovalsMs).entrySet()) {
            if (nowMs >= removal.getValue()) {
                deferredRemovalsMs.remove(removal.getKey());
                changed |= endpoints.remove(removal.getKey()) != null;
            }
        }
        return changed;
    }
}

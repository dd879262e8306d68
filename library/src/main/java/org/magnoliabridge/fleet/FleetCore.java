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
 * Follows the list of endpoints.
 *
 * <p>Load pattern: entries lapse while the store is out, and their endpoints register again soon after its return.
 * Without a grace all endpoints would be unusable for that time. A removal that is seen first after an outage therefore
 * takes effect only after {@link #RECOVERY_GRACE_MS}; any other removal takes effect at once.
 */
public final class FleetCore {
    // Endpoints that lived through an outage are listed again within about 2 s of the store's return.
    static final long RECOVERY_GRACE_MS = 2_000;

    // An endpoint is removed from the list after three missed heartbeats, so a shorter silence of the store removes
    // none.
    static final long MIN_OUTAGE_MS = 1_500;

    private final Map<EndpointId, FleetEndpoint> endpoints = new TreeMap<>();
    private final Map<EndpointId, Long> deferredRemovalsMs = new HashMap<>();
    private boolean isLoaded;
    private boolean pollFailed;
    private long revision;
    private long lastReadMs;
    private long graceUntilMs = Long.MIN_VALUE;

    /** Takes an input; returns whether the endpoints changed. */
    public boolean on(long nowMs, FleetInput input) {
        return switch (input) {
            case FleetInput.Listed listed -> applyListing(nowMs, listed);
            case FleetInput.Changed changed -> applyChanges(nowMs, changed);
            case FleetInput.StoreUnreachable unreachable -> {
                // A poll that waits in vain for changes is as long as an outage, so only failed polls tell of one.
                pollFailed = true;
                yield false;
            }
            case FleetInput.Tick tick -> removeExpired(nowMs);
        };
    }

    /** Returns whether the list was ever read. */
    public boolean isLoaded() {
        return isLoaded;
    }

    /** Returns the store's revision of the last reading. */
    public long revision() {
        return revision;
    }

    /** Returns the time since the list was last known to be current, in milliseconds. */
    public long ageMs(long nowMs) {
        return nowMs - lastReadMs;
    }

    /** Returns the endpoints, those that are leaving included, in the order of their ids. */
    public List<FleetEndpoint> endpoints() {
        return List.copyOf(endpoints.values());
    }

    private boolean applyListing(long nowMs, FleetInput.Listed listed) {
        recordRead(nowMs, listed.revision());
        Set<EndpointId> named = new HashSet<>();
        boolean changed = false;
        for (FleetInput.Entry entry : listed.entries()) {
            named.add(entry.id());
            changed |= apply(nowMs, entry);
        }
        for (EndpointId id : new ArrayList<>(endpoints.keySet())) {
            changed |= !named.contains(id) && remove(nowMs, id);
        }
        boolean expired = removeExpired(nowMs);
        return changed || expired;
    }

    private boolean applyChanges(long nowMs, FleetInput.Changed news) {
        recordRead(nowMs, news.revision());
        boolean changed = false;
        for (FleetInput.Entry entry : news.entries()) {
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
        FleetEndpoint now = entry.endpoint().get();
        return !now.equals(endpoints.put(entry.id(), now));
    }

    private boolean remove(long nowMs, EndpointId id) {
        FleetEndpoint before = endpoints.get(id);
        if (before == null) {
            return false;
        }
        if (nowMs < graceUntilMs && !before.draining()) {
            deferredRemovalsMs.putIfAbsent(id, graceUntilMs);
            return false;
        }
        deferredRemovalsMs.remove(id);
        endpoints.remove(id);
        return true;
    }

    private boolean removeExpired(long nowMs) {
        boolean changed = false;
        for (Map.Entry<EndpointId, Long> lapsed : Map.copyOf(deferredRemovalsMs).entrySet()) {
            if (nowMs >= lapsed.getValue()) {
                deferredRemovalsMs.remove(lapsed.getKey());
                changed |= endpoints.remove(lapsed.getKey()) != null;
            }
        }
        return changed;
    }
}

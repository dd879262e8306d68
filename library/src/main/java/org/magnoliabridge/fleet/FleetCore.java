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
 * takes effect only after {@link #RETURN_GRACE_MS}; any other removal takes effect at once.
 */
public final class FleetCore {
    // Endpoints that lived through an outage are listed again within about 2 s of the store's return.
    static final long RETURN_GRACE_MS = 2_000;

    // An endpoint is removed from the list after three missed heartbeats, so a shorter silence of the store removes
    // none.
    static final long OUTAGE_MS = 1_500;

    private final Map<EndpointId, FleetEndpoint> endpoints = new TreeMap<>();
    private final Map<EndpointId, Long> lapsedUntilMs = new HashMap<>();
    private boolean known;
    private boolean failed;
    private long revision;
    private long currentAtMs;
    private long graceUntilMs = Long.MIN_VALUE;

    /** Takes an input; returns whether the endpoints changed. */
    public boolean on(long nowMs, FleetInput input) {
        return switch (input) {
            case FleetInput.Listed listed -> listed(nowMs, listed);
            case FleetInput.Changed changed -> changed(nowMs, changed);
            case FleetInput.Unreachable unreachable -> {
                // A poll that waits in vain for changes is as long as an outage, so only failed polls tell of one.
                failed = true;
                yield false;
            }
            case FleetInput.Tick tick -> expire(nowMs);
        };
    }

    /** Returns whether the list was ever read. */
    public boolean known() {
        return known;
    }

    /** Returns the store's revision of the last reading. */
    public long revision() {
        return revision;
    }

    /** Returns the time since the list was last known to be current, in milliseconds. */
    public long ageMs(long nowMs) {
        return nowMs - currentAtMs;
    }

    /** Returns the endpoints, those that are leaving included, in the order of their ids. */
    public List<FleetEndpoint> endpoints() {
        return List.copyOf(endpoints.values());
    }

    private boolean listed(long nowMs, FleetInput.Listed listed) {
        contact(nowMs, listed.revision());
        Set<EndpointId> named = new HashSet<>();
        boolean changed = false;
        for (FleetInput.Entry entry : listed.entries()) {
            named.add(entry.id());
            changed |= apply(nowMs, entry);
        }
        for (EndpointId id : new ArrayList<>(endpoints.keySet())) {
            changed |= !named.contains(id) && remove(nowMs, id);
        }
        boolean expired = expire(nowMs);
        return changed || expired;
    }

    private boolean changed(long nowMs, FleetInput.Changed news) {
        contact(nowMs, news.revision());
        boolean changed = false;
        for (FleetInput.Entry entry : news.entries()) {
            changed |= apply(nowMs, entry);
        }
        boolean expired = expire(nowMs);
        return changed || expired;
    }

    private void contact(long nowMs, long newRevision) {
        if (known && failed && nowMs - currentAtMs >= OUTAGE_MS) {
            graceUntilMs = nowMs + RETURN_GRACE_MS;
        }
        known = true;
        failed = false;
        revision = newRevision;
        currentAtMs = nowMs;
    }

    private boolean apply(long nowMs, FleetInput.Entry entry) {
        if (entry.endpoint().isEmpty()) {
            return remove(nowMs, entry.id());
        }
        lapsedUntilMs.remove(entry.id());
        FleetEndpoint now = entry.endpoint().get();
        return !now.equals(endpoints.put(entry.id(), now));
    }

    private boolean remove(long nowMs, EndpointId id) {
        FleetEndpoint before = endpoints.get(id);
        if (before == null) {
            return false;
        }
        if (nowMs < graceUntilMs && !before.draining()) {
            lapsedUntilMs.putIfAbsent(id, graceUntilMs);
            return false;
        }
        lapsedUntilMs.remove(id);
        endpoints.remove(id);
        return true;
    }

    private boolean expire(long nowMs) {
        boolean changed = false;
        for (Map.Entry<EndpointId, Long> lapsed : Map.copyOf(lapsedUntilMs).entrySet()) {
            if (nowMs >= lapsed.getValue()) {
                lapsedUntilMs.remove(lapsed.getKey());
                changed |= endpoints.remove(lapsed.getKey()) != null;
            }
        }
        return changed;
    }
}

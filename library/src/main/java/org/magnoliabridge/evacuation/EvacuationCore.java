package org.magnoliabridge.evacuation;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.magnoliabridge.ids.DataCentre;

/**
 * Tracks which data centres are evacuated, from reads of the platform's store.
 *
 * <p>Load pattern: an operator empties a data centre under full load, and the store fails meanwhile. A failed store
 * keeps the last state, because endpoints of a data centre that is still evacuated must get nothing; a listing replaces
 * the state. Nothing is allowed before the first read.
 *
 * <pre>{@code
 * for (EvacuationChange change : core.on(clock.nowMs(), new EvacuationInput.Listed(revision, entries))) { ... }
 * }</pre>
 */
public final class EvacuationCore {
    /** How long the end of an evacuation is remembered, in milliseconds. */
    static final long ENDED_RETENTION_MS = 600_000;

    private final Map<DataCentre, Running> running = new TreeMap<>();
    private final Map<DataCentre, Long> endedMs = new TreeMap<>();
    private Evacuations current = Evacuations.UNKNOWN;
    private boolean storeFailed;
    private long revision;
    private long lastReadMs;

    /** An evacuation in force: the version of its entry, and when its begin was found. */
    private record Running(long version, long sinceMs) {}

    /** Handles an input; returns what changed, in order. */
    public List<EvacuationChange> on(long nowMs, EvacuationInput input) {
        List<EvacuationChange> changes = new ArrayList<>();
        switch (input) {
            case EvacuationInput.Listed listed -> {
                Set<DataCentre> requested = new HashSet<>();
                listed.entries().stream()
                        .filter(EvacuationInput.Entry::requested)
                        .forEach(e -> requested.add(e.dc()));
                for (DataCentre dc : List.copyOf(running.keySet())) {
                    if (!requested.contains(dc)) {
                        end(nowMs, dc, changes);
                    }
                }
                apply(nowMs, listed.revision(), listed.entries(), changes);
            }
            case EvacuationInput.Changed changed -> apply(nowMs, changed.revision(), changed.entries(), changes);
            case EvacuationInput.StoreUnreachable unreachable -> storeFailed = true;
            case EvacuationInput.Tick tick -> endedMs.values().removeIf(ended -> nowMs - ended >= ENDED_RETENTION_MS);
        }
        return changes;
    }

    /** Returns the evacuations in force; the same object until they change. */
    public Evacuations current() {
        return current;
    }

    /** Returns when the evacuation of a data centre was found, if it is evacuated. */
    public OptionalLong sinceMs(DataCentre dc) {
        Running evacuation = running.get(dc);
        return evacuation == null ? OptionalLong.empty() : OptionalLong.of(evacuation.sinceMs());
    }

    /** Returns when the end of the last evacuation of a data centre was found, if that is not long ago. */
    public OptionalLong endedMs(DataCentre dc) {
        Long ended = endedMs.get(dc);
        return ended == null ? OptionalLong.empty() : OptionalLong.of(ended);
    }

    /** Returns whether the last poll of the store failed, so that the state may be old. */
    public boolean isStoreFailed() {
        return storeFailed;
    }

    /** Returns the store revision of the last read. */
    public long revision() {
        return revision;
    }

    /** Returns the time since the state was last known to be current, in milliseconds. */
    public long ageMs(long nowMs) {
        return nowMs - lastReadMs;
    }

    private void apply(
            long nowMs, long newRevision, List<EvacuationInput.Entry> entries, List<EvacuationChange> changes) {
        for (EvacuationInput.Entry entry : entries) {
            if (entry.requested()) {
                begin(nowMs, entry, changes);
            } else {
                end(nowMs, entry.dc(), changes);
            }
        }
        if (!current.known() || !changes.isEmpty()) {
            current = new Evacuations(true, running.keySet());
        }
        storeFailed = false;
        revision = newRevision;
        lastReadMs = nowMs;
    }

    private void begin(long nowMs, EvacuationInput.Entry entry, List<EvacuationChange> changes) {
        Running before = running.get(entry.dc());
        running.put(entry.dc(), new Running(entry.version(), before == null ? nowMs : before.sinceMs()));
        if (before == null) {
            long unreadMs = current.known() ? ageMs(nowMs) : 0;
            changes.add(new EvacuationChange.Began(entry.dc(), entry.version(), unreadMs));
        }
    }

    private void end(long nowMs, DataCentre dc, List<EvacuationChange> changes) {
        Running ended = running.remove(dc);
        if (ended != null) {
            endedMs.put(dc, nowMs);
            changes.add(new EvacuationChange.Ended(dc, ended.version(), nowMs - ended.sinceMs()));
        }
    }
}

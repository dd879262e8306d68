package org.magnoliabridge.lease;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Writes of this process whose answer was lost; any one of them may have taken effect or may still do so. */
final class UnconfirmedWrites {
    // Bounds the memory while a store answers reads and loses every write. Forgetting the eldest is safe: its lease,
    // if it takes effect, is only not counted.
    private static final int MAX_ENTRIES = 64;

    private final Map<String, Attempt> attempts = new LinkedHashMap<>();

    void add(Attempt attempt) {
        attempts.put(attempt.record().writer(), attempt);
        if (attempts.size() > MAX_ENTRIES) {
            attempts.remove(attempts.keySet().iterator().next());
        }
    }

    Optional<Attempt> find(String writer) {
        return Optional.ofNullable(attempts.get(writer));
    }

    /** Forgets the writes that can no longer take effect, because they expect another version than the current one. */
    void retainExpecting(long version) {
        attempts.values().removeIf(a -> a.expectedVersion() != version);
    }

    /** A write of a lease record and the time it was sent. */
    record Attempt(LeaseRecord record, long expectedVersion, long sentMs) {}
}

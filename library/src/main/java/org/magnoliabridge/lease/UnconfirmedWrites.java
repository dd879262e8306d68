package org.magnoliabridge.lease;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Writes of this process whose reply was lost; each of them may have taken effect or may still do so. */
final class UnconfirmedWrites {
    // Bounds the memory while the store answers reads but loses the reply to every write. Evicting the oldest is safe:
    // if that write takes effect, this process merely does not count it as an acquisition or renewal.
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

    /** Removes the writes that can no longer take effect because they expect a version other than the current one. */
    void retainExpecting(long version) {
        attempts.values().removeIf(a -> a.expectedVersion() != version);
    }

    /** A write of a lease record, with the version that it expects, its call id and the time at which it was sent. */
    record Attempt(LeaseRecord record, long expectedVersion, long callId, long sentMs) {}
}

package org.magnoliabridge.bundle;

import java.util.Objects;
import java.util.Optional;
import org.magnoliabridge.keys.KeyTable;

/**
 * What traffic threads read: the accepted configuration and until when keyed work may be served with it.
 *
 * @param bundle the accepted bundle; empty until a peer or the platform gave one
 * @param keys knows no key before the bundle and the withdrawals are both known
 * @param serveUntilMs monotonic time in milliseconds; each request compares it with its own clock, so a process that
 *     was paused refuses until its control thread has looked again
 */
public record ConfigSnapshot(Optional<Bundle> bundle, Withdrawals withdrawals, KeyTable keys, long serveUntilMs) {
    /** What a node has after its start. */
    public static final ConfigSnapshot EMPTY =
            new ConfigSnapshot(Optional.empty(), Withdrawals.NONE, KeyTable.EMPTY, Long.MIN_VALUE);

    public ConfigSnapshot {
        Objects.requireNonNull(bundle);
        Objects.requireNonNull(withdrawals);
        Objects.requireNonNull(keys);
    }

    /** Returns whether keyed work may run; if not, the refusal is {@code stale_configuration}, not run. */
    public boolean servesKeyed(long nowMs) {
        return bundle.isPresent() && nowMs <= serveUntilMs;
    }
}

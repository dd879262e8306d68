package org.magnoliabridge.bundle;

import java.util.Objects;
import java.util.Optional;
import org.magnoliabridge.keys.KeyTable;

/**
 * The accepted configuration, and until when keyed work may be served with it; read by the traffic threads.
 *
 * @param bundle the accepted bundle; empty until a peer or the platform has sent one
 * @param keys empty until both the bundle and the withdrawals are known
 * @param serveUntilMs monotonic time in milliseconds; each request compares it with its own clock, so a process that
 *     was paused refuses until its control thread has run again
 */
public record ConfigSnapshot(Optional<Bundle> bundle, Withdrawals withdrawals, KeyTable keys, long serveUntilMs) {
    /** The snapshot of a node that has just started. */
    public static final ConfigSnapshot EMPTY =
            new ConfigSnapshot(Optional.empty(), Withdrawals.NONE, KeyTable.EMPTY, Long.MIN_VALUE);

    public ConfigSnapshot {
        Objects.requireNonNull(bundle);
        Objects.requireNonNull(withdrawals);
        Objects.requireNonNull(keys);
    }

    /** Returns whether keyed work may run; otherwise it is refused as {@code stale_configuration} and is not run. */
    public boolean servesKeyed(long nowMs) {
        return bundle.isPresent() && nowMs <= serveUntilMs;
    }
}

package org.magnoliabridge.lease;

import java.util.Objects;
import org.magnoliabridge.ids.FencingToken;

/**
 * The state of a lease as one process knows it; times are readings of its monotonic clock.
 *
 * @param held whether the process believes that it holds the lease
 * @param fencing the token to send with every order; meaningful only while the lease is held
 * @param sendFromMs the earliest time at which the holder may send; sends of the previous holder have ended by then,
 *     and the lease duration has passed if this process held the lease before the previous holder
 * @param sendUntilMs the time from which the holder must not send
 */
public record LeaseView(boolean held, FencingToken fencing, long sendFromMs, long sendUntilMs) {
    /** The view of a process that does not hold the lease. */
    public static final LeaseView NOT_HELD = new LeaseView(false, new FencingToken(0), 0, 0);

    public LeaseView {
        Objects.requireNonNull(fencing);
    }

    /** Returns whether the process may send at the given time. */
    public boolean maySend(long nowMs) {
        return held && nowMs >= sendFromMs && nowMs < sendUntilMs;
    }
}

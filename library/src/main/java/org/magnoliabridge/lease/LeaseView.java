package org.magnoliabridge.lease;

import java.util.Objects;
import org.magnoliabridge.ids.FencingToken;

/**
 * What a process may do under its lease, on its own monotonic clock.
 *
 * @param held whether the process believes that it holds the lease
 * @param fencing the token to send with every order; meaningful only while the lease is held
 * @param sendFromMs the first moment at which the holder may send; the last sends of a holder before it have ended then
 * @param sendUntilMs the moment from which the holder must not send any more
 */
public record LeaseView(boolean held, FencingToken fencing, long sendFromMs, long sendUntilMs) {
    /** The view of a process that does not hold the lease. */
    public static final LeaseView NOT_HELD = new LeaseView(false, new FencingToken(0), 0, 0);

    public LeaseView {
        Objects.requireNonNull(fencing);
    }

    /** Returns whether the holder may send at a moment. */
    public boolean maySend(long nowMs) {
        return held && nowMs >= sendFromMs && nowMs < sendUntilMs;
    }
}

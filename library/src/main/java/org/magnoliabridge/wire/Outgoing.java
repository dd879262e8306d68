package org.magnoliabridge.wire;

import java.util.Objects;
import java.util.Optional;
import org.magnoliabridge.ids.Incarnation;

/**
 * A frame that waits to be sent.
 *
 * @param run the only start of the peer that may get the frame; empty if any may
 */
record Outgoing(Frame frame, Optional<Incarnation> run) {
    Outgoing {
        Objects.requireNonNull(frame);
        Objects.requireNonNull(run);
    }

    /** Returns whether the frame may be sent to a start of the peer. */
    boolean isFor(Incarnation peer) {
        return run.map(peer::equals).orElse(true);
    }

    int bodyBytes() {
        return frame.body().length;
    }
}

package org.magnoliabridge.wire;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.magnoliabridge.wire.PeerEvents.CloseReason;

/** Counts what passes between nodes. */
public final class WireStats {
    final LongAdder bytesSent = new LongAdder();
    final LongAdder bytesReceived = new LongAdder();
    final LongAdder dropped = new LongAdder();
    final LongAdder closeFailures = new LongAdder();
    private final Map<CloseReason, LongAdder> closed = new ConcurrentHashMap<>();
    private final Map<FrameException.Reason, LongAdder> rejected = new ConcurrentHashMap<>();

    void closed(CloseReason reason) {
        closed.computeIfAbsent(reason, r -> new LongAdder()).increment();
    }

    void rejected(FrameException.Reason reason) {
        rejected.computeIfAbsent(reason, r -> new LongAdder()).increment();
    }

    /** Returns the bytes of session frames that were sent. */
    public long bytesSent() {
        return bytesSent.sum();
    }

    /** Returns the bytes of session frames that were received. */
    public long bytesReceived() {
        return bytesReceived.sum();
    }

    /** Returns the frames that were dropped because a queue was full or a connection closed. */
    public long dropped() {
        return dropped.sum();
    }

    /** Returns how many connections ended for this reason. */
    public long closedFor(CloseReason reason) {
        LongAdder count = closed.get(reason);
        return count == null ? 0 : count.sum();
    }

    /** Returns how many connections were ended by such a frame. */
    public long rejectedFor(FrameException.Reason reason) {
        LongAdder count = rejected.get(reason);
        return count == null ? 0 : count.sum();
    }
}

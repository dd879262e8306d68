package org.magnoliabridge.wire;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.magnoliabridge.wire.PeerEvents.CloseReason;

/** Counters of the traffic and the connections between nodes. */
public final class WireStats {
    final LongAdder bytesSent = new LongAdder();
    final LongAdder bytesReceived = new LongAdder();
    final LongAdder dropped = new LongAdder();
    final LongAdder misaddressed = new LongAdder();
    final LongAdder closeFailures = new LongAdder();
    private final Map<CloseReason, LongAdder> closed = new ConcurrentHashMap<>();
    private final Map<FrameException.Reason, LongAdder> rejected = new ConcurrentHashMap<>();

    void closed(CloseReason reason) {
        closed.computeIfAbsent(reason, r -> new LongAdder()).increment();
    }

    void rejected(FrameException.Reason reason) {
        rejected.computeIfAbsent(reason, r -> new LongAdder()).increment();
    }

    /** Returns the number of bytes sent in session frames. */
    public long bytesSent() {
        return bytesSent.sum();
    }

    /** Returns the number of bytes received in session frames. */
    public long bytesReceived() {
        return bytesReceived.sum();
    }

    /** Returns the number of frames dropped: too large, queue full, connection closed, or redial interval not over. */
    public long dropped() {
        return dropped.sum();
    }

    /** Returns the number of frames not sent because the process that they were for has been replaced. */
    public long misaddressed() {
        return misaddressed.sum();
    }

    /** Returns the number of connections closed for this reason. */
    public long closedFor(CloseReason reason) {
        LongAdder count = closed.get(reason);
        return count == null ? 0 : count.sum();
    }

    /** Returns the number of connections closed by a frame that was rejected for this reason. */
    public long rejectedFor(FrameException.Reason reason) {
        LongAdder count = rejected.get(reason);
        return count == null ? 0 : count.sum();
    }
}

package org.magnoliabridge.wire;

import java.util.Objects;
import org.magnoliabridge.ids.NodeId;

/**
 * One message between nodes.
 *
 * @param type what the body is
 * @param sender the node that sent it
 * @param requestId matches an answer to its request; 0 for a message that has no answer
 * @param body MessagePack of the owning slice; not copied, callers must not change it
 */
@SuppressWarnings("ArrayRecordComponent")
public record Frame(FrameType type, NodeId sender, long requestId, byte[] body) {
    public Frame {
        Objects.requireNonNull(type);
        Objects.requireNonNull(sender);
        Objects.requireNonNull(body);
    }
}

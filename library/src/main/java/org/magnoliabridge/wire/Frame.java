package org.magnoliabridge.wire;

import java.util.Objects;
import org.magnoliabridge.ids.NodeId;

/**
 * One message between nodes.
 *
 * @param type type of the message in the body
 * @param sender the node that sent it
 * @param requestId correlates an answer with its request; 0 for a message without an answer
 * @param body MessagePack content, defined by the package that owns the type; not copied, callers must not change it
 */
@SuppressWarnings("ArrayRecordComponent")
public record Frame(FrameType type, NodeId sender, long requestId, byte[] body) {
    public Frame {
        Objects.requireNonNull(type);
        Objects.requireNonNull(sender);
        Objects.requireNonNull(body);
    }
}

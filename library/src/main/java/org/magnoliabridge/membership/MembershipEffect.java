package org.magnoliabridge.membership;

import java.util.List;
import java.util.Optional;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.wire.FrameType;

/** What {@link MembershipCore} wants done. */
public sealed interface MembershipEffect {
    /**
     * Send a frame.
     *
     * @param to empty for a seed whose name is not known yet
     * @param address IP address and port
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Send(Optional<NodeId> to, String address, FrameType type, long requestId, byte[] body)
            implements MembershipEffect {}

    /** Give an item to its owner, who answers with {@link MembershipInput.ItemAccepted} if it accepts a pinned one. */
    record Deliver(NodeId from, Item item) implements MembershipEffect {}

    /**
     * A member whose pinned items have these versions had them confirmed at this time, in this node's monotonic time.
     *
     * @param versions in the order of {@link Item#PINNED}
     */
    record Confirmed(List<Long> versions, long confirmedAtMs) implements MembershipEffect {}

    /** Whether this node reaches more than half of the members; given every second. */
    record Majority(boolean reached) implements MembershipEffect {}

    /** The member table changed. */
    record Changed(List<Member> members) implements MembershipEffect {}

    /** Count a message that could not be read. */
    record Malformed(NodeId from, FrameType type) implements MembershipEffect {}
}

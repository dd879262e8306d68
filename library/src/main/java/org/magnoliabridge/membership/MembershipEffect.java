package org.magnoliabridge.membership;

import java.util.List;
import java.util.Optional;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.wire.FrameType;

/** An action that {@link MembershipCore} requests. */
public sealed interface MembershipEffect {
    /**
     * Send a frame.
     *
     * @param to empty if the node id behind the address is not known yet
     * @param run the only start of the node that may get the frame, as it answers that process; empty if any may
     * @param address IP address and port
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Send(
            Optional<NodeId> to, Optional<Incarnation> run, String address, FrameType type, long requestId, byte[] body)
            implements MembershipEffect {}

    /**
     * Hand an item to the component that owns it, which replies with {@link MembershipInput.ItemAccepted} if it accepts
     * a pinned one.
     */
    record Deliver(NodeId from, Item item) implements MembershipEffect {}

    /**
     * A member reported when its configuration was last confirmed.
     *
     * @param versions of the member's pinned items, in the order of {@link Item#PINNED}
     * @param confirmedAtMs when these versions were last confirmed, in this node's monotonic time
     */
    record Confirmed(List<Long> versions, long confirmedAtMs) implements MembershipEffect {}

    /** Whether this node reaches more than half of the members; emitted once per ping period, by default 1 s. */
    record Majority(boolean reached) implements MembershipEffect {}

    /** The member table changed. */
    record Changed(List<Member> members) implements MembershipEffect {}

    /** Count a message that is malformed or of an unexpected type. */
    record Malformed(NodeId from, FrameType type) implements MembershipEffect {}
}

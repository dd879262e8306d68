package org.magnoliabridge.membership;

import java.util.Map;
import java.util.Objects;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.wire.FrameType;

/** What can happen to {@link MembershipCore}. */
public sealed interface MembershipInput {
    /** Time has passed; comes about every 100 ms. */
    record Tick() implements MembershipInput {}

    /** A frame of one of the types from Ping to Items, or Leaving, came from a node. */
    @SuppressWarnings("ArrayRecordComponent")
    record Received(NodeId from, FrameType type, long requestId, byte[] body) implements MembershipInput {
        public Received {
            Objects.requireNonNull(from);
            Objects.requireNonNull(type);
            Objects.requireNonNull(body);
        }
    }

    /** This node holds an item now: its owner accepted it. */
    record ItemAccepted(Item item) implements MembershipInput {}

    /** When this node's configuration was last confirmed, in its monotonic time. */
    record Confirmation(long confirmedAtMs) implements MembershipInput {}

    /** This node's load, 0 to 1000. */
    record Load(int permille) implements MembershipInput {}

    /** The platform's list of nodes that are live or leaving, with their peer addresses; it lags. */
    record Instances(Map<NodeId, String> peerAddresses) implements MembershipInput {
        public Instances {
            peerAddresses = Map.copyOf(peerAddresses);
        }
    }

    /** Ask the members that have not reported this version of a pinned item, until all have. */
    record AwaitVersion(String name, long version) implements MembershipInput {}

    /** This node begins to drain. */
    record Leave() implements MembershipInput {}
}

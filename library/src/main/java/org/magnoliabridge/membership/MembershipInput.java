package org.magnoliabridge.membership;

import java.util.Map;
import java.util.Objects;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.ProcessName;
import org.magnoliabridge.wire.FrameType;

/** An input of {@link MembershipCore}. */
public sealed interface MembershipInput {
    /** Time has passed; sent about every 100 ms. */
    record Tick() implements MembershipInput {}

    /** A process sent a frame of one of the types from Ping to Items, or Leaving. */
    @SuppressWarnings("ArrayRecordComponent")
    record Received(ProcessName from, FrameType type, long requestId, byte[] body) implements MembershipInput {
        public Received {
            Objects.requireNonNull(from);
            Objects.requireNonNull(type);
            Objects.requireNonNull(body);
        }
    }

    /** The component that owns the item accepted it, so this node now passes it on. */
    record ItemAccepted(Item item) implements MembershipInput {}

    /** This node's configuration was confirmed at this time, in its monotonic time. */
    record Confirmation(long confirmedAtMs) implements MembershipInput {}

    /** This node's load, 0 to 1000. */
    record Load(int permille) implements MembershipInput {}

    /** The platform's list of live and leaving nodes with their peer addresses; it lags behind the actual state. */
    record Instances(Map<NodeId, String> peerAddresses) implements MembershipInput {
        public Instances {
            peerAddresses = Map.copyOf(peerAddresses);
        }
    }

    /** Ping the members that have not reported this version of a pinned item, each period until all have. */
    record AwaitVersion(String name, long version) implements MembershipInput {}

    /** Whether the store serves this node's own calls. */
    record StoreServing(boolean serves) implements MembershipInput {}

    /** This node starts to drain. */
    record Leave() implements MembershipInput {}
}

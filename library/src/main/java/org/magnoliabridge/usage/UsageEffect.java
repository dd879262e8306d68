package org.magnoliabridge.usage;

import java.util.Map;
import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.ids.FencingToken;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.ProcessName;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.ids.WindowId;

/** An action that {@link UsageCore} asks its caller to perform. */
public sealed interface UsageEffect {
    /** Send a usage counts frame. */
    @SuppressWarnings("ArrayRecordComponent")
    record SendCounts(NodeId to, byte[] body) implements UsageEffect {}

    /** Send a usage acknowledgement frame to the process whose counts were received. */
    @SuppressWarnings("ArrayRecordComponent")
    record SendAck(ProcessName to, byte[] body) implements UsageEffect {}

    /** Send a store request with status priority and pass its answer to {@link UsageInput.Reply} with the tag. */
    record Store(long tag, StoreRequest request) implements UsageEffect {}

    /**
     * Report a window to the platform if the lease still allows it; otherwise the result is {@code NOT_CONFIRMED}.
     *
     * @param requestsByTeam each team's number of requests in the window itself
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Report(long tag, WindowId window, byte[] body, Map<TeamId, Long> requestsByTeam, FencingToken fencing)
            implements UsageEffect {}

    /** The leader and the peers that get copies have confirmed all counts of this node; it may stop. */
    record Drained() implements UsageEffect {}

    /** The platform has a report of the window that differs from the sealed record; an operator must investigate. */
    record ReportConflict(WindowId window) implements UsageEffect {}

    /** The counts of a sealed window differ from those of the engines. */
    record EngineMismatch(WindowId window, Count sealedCount, Count engineCount) implements UsageEffect {}
}

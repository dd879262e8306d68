package org.magnoliabridge.usage;

import java.util.Map;
import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.ids.FencingToken;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.ids.WindowId;

/** What {@link UsageCore} orders. */
public sealed interface UsageEffect {
    /** Send a usage counts frame. */
    @SuppressWarnings("ArrayRecordComponent")
    record SendCounts(NodeId to, byte[] body) implements UsageEffect {}

    /** Send a usage acknowledgement frame. */
    @SuppressWarnings("ArrayRecordComponent")
    record SendAck(NodeId to, byte[] body) implements UsageEffect {}

    /** Make a store request with status priority and give the answer back with the tag. */
    record Store(long tag, StoreRequest request) implements UsageEffect {}

    /**
     * Report a window to the platform, unless it is too late.
     *
     * @param requests each team's requests in the window itself
     * @param sendBeforeMs if the first byte was not written by then, the result is not confirmed
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Report(
            long tag,
            WindowId window,
            byte[] body,
            Map<TeamId, Long> requestsByTeam,
            FencingToken fencing,
            long sendBeforeMs)
            implements UsageEffect {}

    /** All counts of this node are with its peers and the leader; it may stop. */
    record Drained() implements UsageEffect {}

    /** The platform has other figures for the window than the sealed record; an operator has to look. */
    record ReportConflict(WindowId window) implements UsageEffect {}

    /** Our counts of a sealed window differ from those of the engines. */
    record EngineMismatch(WindowId window, Count sealedCount, Count engineCount) implements UsageEffect {}
}

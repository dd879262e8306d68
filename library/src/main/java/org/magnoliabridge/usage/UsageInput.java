package org.magnoliabridge.usage;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.ids.FencingToken;
import org.magnoliabridge.ids.ProcessName;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.ids.WindowId;

/** An input of {@link UsageCore}. */
public sealed interface UsageInput {
    /**
     * This node has delivered a request.
     *
     * @param atMs wall-clock time that selects the request's window; empty for the present
     */
    record Delivered(TeamId team, Count count, OptionalLong atMs) implements UsageInput {
        /** Creates the input for a request that counts in the present window. */
        public Delivered(TeamId team, Count count) {
            this(team, count, OptionalLong.empty());
        }
    }

    /** Counts received from a process; the body is that of a usage counts frame. */
    @SuppressWarnings("ArrayRecordComponent")
    record Counts(ProcessName from, byte[] body) implements UsageInput {}

    /** A process has acknowledged counts; the body is that of a usage acknowledgement frame. */
    @SuppressWarnings("ArrayRecordComponent")
    record Ack(ProcessName from, byte[] body) implements UsageInput {}

    /**
     * The processes that get copies of counts; a copy is lost when its process ends.
     *
     * @param candidates live peers in order of preference, at least 3 if that many exist; the first 2 other than the
     *     leader hold copies of this node's counts
     * @param leader the holder of the usage lease, if known; may be this node
     */
    record Peers(List<ProcessName> candidates, Optional<ProcessName> leader) implements UsageInput {}

    /**
     * This node holds the usage lease.
     *
     * @param sendUntilMs end of the time in which it may send reports, on the clock of {@code nowMs}; this is the
     *     lease's expiry less its safety margin
     */
    record LeaseHeld(long sendUntilMs, FencingToken fencing) implements UsageInput {}

    /** This node no longer holds the usage lease. */
    record LeaseLost() implements UsageInput {}

    /** The node is shutting down; {@link UsageEffect.Drained} follows once its counts are confirmed. */
    record Drain() implements UsageInput {}

    /** The answer to the store request with the tag; late and repeated answers are ignored. */
    record Reply(long tag, StoreReply reply) implements UsageInput {}

    /** The answer to the report with the tag. */
    record Reported(long tag, ReportResult result) implements UsageInput {}

    /** The total that all engines counted in a window. */
    record EngineCounts(WindowId window, Count count) implements UsageInput {}

    /** Time has passed; given at least every 100 ms. */
    record Tick() implements UsageInput {}

    /** The outcome of a report. */
    enum ReportResult {
        ACCEPTED,
        /** The platform already has a different report for the window. */
        OTHER_FIGURES,
        /** No answer came, or the report was not accepted; the same report may be sent again. */
        NOT_CONFIRMED
    }
}

package org.magnoliabridge.usage;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.ids.FencingToken;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.ids.WindowId;

/** What {@link UsageCore} is told. */
public sealed interface UsageInput {
    /**
     * This node has delivered a request.
     *
     * @param atMs wall-clock time to which the request belongs, if it is not the present
     */
    record Delivered(TeamId team, Count count, OptionalLong atMs) implements UsageInput {
        /** A request that belongs to the present. */
        public Delivered(TeamId team, Count count) {
            this(team, count, OptionalLong.empty());
        }
    }

    /** Another node's counts; the body is that of a usage counts frame. */
    @SuppressWarnings("ArrayRecordComponent")
    record Counts(NodeId from, byte[] body) implements UsageInput {}

    /** Another node has our counts; the body is that of a usage acknowledgement frame. */
    @SuppressWarnings("ArrayRecordComponent")
    record Ack(NodeId from, byte[] body) implements UsageInput {}

    /**
     * Who gets copies.
     *
     * @param candidates live peers in order of preference, at least 3 if there are as many; the first 2 other than the
     *     leader keep copies of this node's counts
     * @param leader the holder of the usage lease, if known; may be this node
     */
    record Peers(List<Peer> candidates, Optional<Peer> leader) implements UsageInput {}

    /**
     * A process that gets copies.
     *
     * @param incarnation changes at least when the node is restarted, because it has then forgotten what it confirmed
     */
    record Peer(NodeId node, Incarnation incarnation) {}

    /**
     * This node holds the usage lease.
     *
     * @param sendUntilMs until when it may send reports, on the clock of {@code nowMs}; the lease's margin is taken off
     */
    record LeaseHeld(long sendUntilMs, FencingToken fencing) implements UsageInput {}

    /** This node does not hold the usage lease any more. */
    record LeaseLost() implements UsageInput {}

    /** The node shuts down; answered by {@link UsageEffect.HandedOver}. */
    record Drain() implements UsageInput {}

    /** The answer to the store request with the tag; late and repeated answers are ignored. */
    record Reply(long tag, StoreReply reply) implements UsageInput {}

    /** The answer to the report with the tag. */
    record Reported(long tag, ReportResult result) implements UsageInput {}

    /** What all engines together counted in a window. */
    record EngineCounts(WindowId window, Count count) implements UsageInput {}

    /** Time has passed; given at least every 100 ms. */
    record Tick() implements UsageInput {}

    /** The outcome of a report. */
    enum ReportResult {
        ACCEPTED,
        /** Other figures are already there. */
        OTHER_FIGURES,
        /** No answer, or certainly not accepted; the same report may be repeated. */
        NOT_CONFIRMED
    }
}

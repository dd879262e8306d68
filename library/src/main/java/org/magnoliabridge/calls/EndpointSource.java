package org.magnoliabridge.calls;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Set;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.ids.WeightVersion;

/** Gives calls their endpoints; the queue, fairness and engine choice are behind it. */
public interface EndpointSource {
    /**
     * Waits for a slot on an endpoint.
     *
     * @throws CallException if the request is refused while it waits; it then was not sent by this wait
     */
    Slot acquire(SlotRequest request, Cancellation cancellation) throws CallException;

    /** Which work goes first. */
    enum Priority {
        /** Somebody waits for the answer. */
        INTERACTIVE,
        /** Samples for training. */
        TRAINING
    }

    /**
     * What a call needs.
     *
     * @param tokens estimated cost: prompt tokens plus the largest number of generated tokens; 1 for plain services
     * @param promptTokens the prompt's part of it
     * @param prefixHash hash of the prompt's prefix, empty text for none
     * @param deadlineMs on the node's monotonic clock
     * @param preferredVersion weight version to continue with
     * @param excluded endpoints that have just failed this call
     * @param minVersion endpoints that report older weights are not used
     */
    record SlotRequest(
            ServiceId service,
            TeamId team,
            Priority priority,
            int tokens,
            int promptTokens,
            String prefixHash,
            long deadlineMs,
            Optional<WeightVersion> preferredVersion,
            Set<EndpointId> excluded,
            Optional<WeightVersion> minVersion) {
        public SlotRequest {
            excluded = Set.copyOf(excluded);
        }

        /** Creates a need that endpoints with any weights can meet. */
        public SlotRequest(
                ServiceId service,
                TeamId team,
                Priority priority,
                int tokens,
                int promptTokens,
                String prefix,
                long deadlineMs,
                Optional<WeightVersion> preferred,
                Set<EndpointId> excluded) {
            this(
                    service,
                    team,
                    priority,
                    tokens,
                    promptTokens,
                    prefix,
                    deadlineMs,
                    preferred,
                    excluded,
                    Optional.empty());
        }
    }

    /** What a call saw of its endpoint. */
    enum Observation {
        /** It answered. */
        ANSWERED,
        /** It refuses new work because it is leaving. */
        DRAINING,
        /** It could not be reached, also not over a fresh connection. */
        UNREACHABLE,
        /** It can be reached but gave no whole answer. */
        FAULTY_ANSWER
    }

    /** A place on an endpoint, held for one attempt. */
    interface Slot extends AutoCloseable {
        /** Returns the endpoint. */
        EndpointId endpoint();

        /** Returns its address. */
        InetSocketAddress address();

        /** Reports what was seen of the endpoint. */
        void observed(Observation observation);

        /** Gives the place back; {@code usedTokens} corrects the estimated cost. */
        void release(int usedTokens);

        /** Gives the place back with the estimated cost; does nothing after {@link #release}. */
        @Override
        void close();
    }
}

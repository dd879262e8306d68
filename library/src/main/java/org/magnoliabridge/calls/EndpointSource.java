package org.magnoliabridge.calls;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Set;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.ids.WeightVersion;

/** Assigns endpoints to calls; implementations queue calls, share slots fairly among teams and choose the engine. */
public interface EndpointSource {
    /**
     * Waits for a slot at an endpoint.
     *
     * @throws CallException if the request is refused while it waits; nothing was sent for this attempt
     */
    Slot acquire(SlotRequest request, Cancellation cancellation) throws CallException;

    /** The class of work; interactive calls are served first. */
    enum Priority {
        /** A caller waits for the response. */
        INTERACTIVE,
        /** Generates samples for training. */
        TRAINING
    }

    /**
     * A request for a slot, made for each attempt of a call.
     *
     * @param tokens estimated cost: prompt tokens plus the maximum number of generated tokens; 1 for plain services
     * @param promptTokens the prompt's share of {@code tokens}
     * @param prefixHash hash of the prompt's prefix, empty if there is none
     * @param deadlineMs on the node's monotonic clock
     * @param preferredVersion weight version of the tokens generated so far; endpoints with it are preferred
     * @param excluded endpoints of earlier attempts of this call; chosen only if there is no other endpoint
     * @param minVersion oldest weight version allowed; endpoints that report an older one are not chosen
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

        /** Creates a request without a minimum weight version. */
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

    /** What an attempt shows about the state of its endpoint. */
    enum Observation {
        /** The endpoint answered a request. */
        ANSWERED,
        /** The endpoint answered completely, but that a request failed; the request may be the cause. */
        REPORTED_FAILURE,
        /** The endpoint is shutting down and refuses new work. */
        DRAINING,
        /** The endpoint could not be reached, also not over a new connection. */
        UNREACHABLE,
        /** The endpoint can be reached but sent no complete response, or failed what another endpoint answered. */
        FAULTY_ANSWER
    }

    /** A unit of an endpoint's concurrency, held for one attempt. */
    interface Slot extends AutoCloseable {
        /** Returns the endpoint. */
        EndpointId endpoint();

        /** Returns the endpoint's address. */
        InetSocketAddress address();

        /** Reports an observation of the endpoint, which influences later choices; also after the release. */
        void observed(Observation observation);

        /** Releases the slot; {@code usedTokens} replaces the estimated cost. */
        void release(int usedTokens);

        /** Releases the slot at the estimated cost; does nothing after {@link #release}. */
        @Override
        void close();
    }
}

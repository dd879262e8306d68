package org.magnoliabridge.routing;

import java.util.Map;
import org.magnoliabridge.calls.EndpointSource;
import org.magnoliabridge.calls.Failure;
import org.magnoliabridge.calls.LoadReport;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.TeamId;

/** An input of the admission core: an event, a change of configuration or the passing of time. */
public sealed interface AdmissionInput {
    /** A request asks for a slot. */
    record Arrive(long admissionId, EndpointSource.SlotRequest request) implements AdmissionInput {}

    /** A request has released its slot after using this number of tokens. */
    record Finished(long admissionId, int usedTokens) implements AdmissionInput {}

    /** A request is cancelled, whether it is queued or has a slot. */
    record Cancel(long admissionId, Failure failure) implements AdmissionInput {}

    /** An engine has reported its load. */
    record Reported(EndpointId endpoint, LoadReport report) implements AdmissionInput {}

    /** An input for the endpoint table. */
    record Endpoints(EndpointInput input) implements AdmissionInput {}

    /** The teams and the slots per engine of the accepted configuration bundle. */
    record Policies(Map<TeamId, TeamPolicy> teams, int engineSlots) implements AdmissionInput {
        public Policies {
            teams = Map.copyOf(teams);
        }
    }

    /** This node's share of each team's rate limit, from 0 to 1; teams that are not listed get the default share. */
    record Shares(Map<TeamId, Double> shares, double defaultShare) implements AdmissionInput {
        public Shares {
            shares = Map.copyOf(shares);
        }
    }

    /** Triggers the checks that depend on time: deadlines and back-offs. */
    record Tick() implements AdmissionInput {}
}

package org.magnoliabridge.routing;

import java.util.Map;
import org.magnoliabridge.calls.EndpointSource;
import org.magnoliabridge.calls.Failure;
import org.magnoliabridge.calls.LoadReport;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.TeamId;

/** What the admission core learns. */
public sealed interface AdmissionInput {
    /** A request asks for a slot. */
    record Arrive(long admissionId, EndpointSource.SlotRequest need) implements AdmissionInput {}

    /** A request is done with its slot and has used this number of tokens. */
    record Finished(long admissionId, int usedTokens) implements AdmissionInput {}

    /** A request is withdrawn, whether it waits or has a slot. */
    record Cancel(long admissionId, Failure failure) implements AdmissionInput {}

    /** A call has seen something of the endpoint of its slot. */
    record Observed(long admissionId, EndpointSource.Observation observation) implements AdmissionInput {}

    /** An engine's load report. */
    record Reported(EndpointId endpoint, LoadReport report) implements AdmissionInput {}

    /** News of endpoints. */
    record Endpoints(EndpointInput input) implements AdmissionInput {}

    /** The accepted bundle's teams and slots per engine. */
    record Policies(Map<TeamId, TeamPolicy> teams, int engineSlots) implements AdmissionInput {
        public Policies {
            teams = Map.copyOf(teams);
        }
    }

    /** This node's part of each team's rate, from 0 to 1; teams that are not named get the default. */
    record Shares(Map<TeamId, Double> shares, double defaultShare) implements AdmissionInput {
        public Shares {
            shares = Map.copyOf(shares);
        }
    }

    /** Time has passed. */
    record Tick() implements AdmissionInput {}
}

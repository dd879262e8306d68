package org.magnoliabridge.routing;

import org.magnoliabridge.calls.Failure;

/** An effect that the admission core asks its driver to carry out. */
public sealed interface AdmissionEffect {
    /** Gives the request a slot on this endpoint. */
    record Dispatch(long admissionId, Endpoint endpoint) implements AdmissionEffect {}

    /** Refuses a queued request. It got no slot since it was queued, so it did not run. */
    record Refuse(long admissionId, Failure failure) implements AdmissionEffect {}

    /** Tells the other members that this incarnation of an endpoint is leaving. */
    record AnnounceLeaving(Endpoint endpoint) implements AdmissionEffect {}

    /** Writes a change of an endpoint's state to the log. */
    record LogChange(EndpointChange change) implements AdmissionEffect {}
}

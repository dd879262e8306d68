package org.magnoliabridge.routing;

import org.magnoliabridge.calls.Failure;

/** What the admission core wants done. */
public sealed interface AdmissionEffect {
    /** Give the request a slot on this endpoint. */
    record Dispatch(long admissionId, Endpoint endpoint) implements AdmissionEffect {}

    /** Refuse the request; it was never given a slot by this wait, so it did not run. */
    record Refuse(long admissionId, Failure failure) implements AdmissionEffect {}

    /** Tell the other members that this incarnation is leaving. */
    record AnnounceLeaving(Endpoint endpoint) implements AdmissionEffect {}
}
